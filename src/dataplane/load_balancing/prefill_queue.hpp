// How long the prompts that were sent to each server still take to be read: those of this sidecar, and those
// that others tell of. A server reads them one after the other, so that what was sent there goes down by a
// millisecond in each, and the first byte of an answer shows that its prompt and all before it have been
// read. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace violetwing {

class PrefillQueue {
 public:
  // A prompt that takes `ms` to be read was sent to the server.
  void OnSent(const std::string& server, double ms, Micros now);
  // The prompt that was sent there at `sent_at` has been read.
  void OnRead(const std::string& server, Micros sent_at, Micros now);
  // Until all that was sent there has been read, in ms.
  double WaitMs(const std::string& server, Micros now) const;
  // Forgets what has long been read.
  void Expire(Micros now);

 private:
  struct Sent {
    Micros at = 0;
    double ms = 0;
  };
  struct Server {
    std::deque<Sent> sent;  // as it is known; in the order of being sent
    Micros read_at = 0;     // when all of it will have been read
  };

  std::map<std::string, Server> servers_;  // by id
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
