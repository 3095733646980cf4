// What sidecars tell each other of the prompts that they have sent to model servers: one datagram a report. A
// report that is lost is not sent again; its prompts are merely not known elsewhere.
#ifndef VIOLETWING_MESSAGES_LOAD_HPP_
#define VIOLETWING_MESSAGES_LOAD_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace violetwing {

// A prompt that was sent to a server, which keeps its parts from now on.
struct SentPrompt {
  std::string server;   // instance id
  std::string weights;  // "model" or "model/adapter"
  std::string parts;    // as in X-Violetwing-Prompt-Prefix
  double read_ms = 0;   // that the server takes to read it, as the sender expects
};

struct LoadReport {
  std::string node;  // the sender
  std::vector<SentPrompt> prompts;
};

std::string Encode(const LoadReport& report);
// Empty where the bytes are no report, or lack a field.
std::optional<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_LOAD_HPP_
