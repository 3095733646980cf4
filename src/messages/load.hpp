// What sidecars tell each other of the work that they have sent to model servers: one datagram a report. A
// report replaces what its sender had told before of the same servers, so that a lost one does no lasting
// harm.
#ifndef VIOLETWING_MESSAGES_LOAD_HPP_
#define VIOLETWING_MESSAGES_LOAD_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetwing {

// Requests of one sidecar at one server.
struct ServerWork {
  std::string server;  // instance id
  int in_flight = 0;
  double unread_tokens = 0;  // of prompts whose answer has not begun
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerWork, server, in_flight, unread_tokens)

// A prompt that was sent to a server, which keeps its parts from now on.
struct SentPrompt {
  std::string server;
  std::string weights;  // "model" or "model/adapter"
  std::string parts;    // as in X-Violetwing-Prompt-Prefix
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SentPrompt, server, weights, parts)

struct LoadReport {
  std::string node;
  std::uint64_t sequence = 0;  // rises with each report of one life of the sender
  std::vector<ServerWork> work;
  std::vector<SentPrompt> prompts;

  bool Empty() const { return work.empty() && prompts.empty(); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport, node, sequence, work, prompts)

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_LOAD_HPP_
