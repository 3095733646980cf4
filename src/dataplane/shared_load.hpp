// What other sidecars have told of their requests at model servers, summed up for each server. A sidecar that
// falls silent counts no more after some seconds. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_SHARED_LOAD_HPP_
#define VIOLETWING_DATAPLANE_SHARED_LOAD_HPP_

#include <cstdint>
#include <map>
#include <string>

#include "messages/load.hpp"

namespace violetwing {

class SharedLoad {
 public:
  using Micros = std::int64_t;

  // Work at one server, of all sidecars that were heard of it lately.
  struct Sum {
    int in_flight = 0;
    double unread_tokens = 0;
  };

  // False if the report is older than one that was taken before, or makes no sense.
  bool Take(const LoadReport& report, Micros now);
  Sum At(const std::string& server, Micros now) const;
  // Forgets what counts no more.
  void Expire(Micros now);

 private:
  struct Work {
    int in_flight = 0;
    double unread_tokens = 0;
    Micros told_at = 0;
  };
  struct Sender {
    std::uint64_t sequence = 0;
    Micros heard_at = 0;
  };

  std::map<std::string, Sender> senders_;                    // by name
  std::map<std::string, std::map<std::string, Work>> work_;  // by server and sender
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_SHARED_LOAD_HPP_
