// An estimate of each server's prefill queue: the prompts sent there, by this sidecar and, as reported, by
// others, that it has not prefilled yet. A server prefills one prompt after the other, so that the queue
// shrinks by a millisecond in each, and the first byte of a response shows that its prompt and all before it
// are done. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_

#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace violetwing {

/// Prefill queues of all servers, by instance id. Times are of the steady clock and must not decrease.
class PrefillQueue {
 public:
  /// Adds a prompt whose prefill is expected to take `prefill_ms`.
  void Enqueue(const std::string& server, double prefill_ms, Micros now);
  /// The prompt sent at `sent_at` has been prefilled, and so have all sent before it.
  void OnPrefillDone(const std::string& server, Micros sent_at, Micros now);
  /// Time until the whole queue is prefilled, in ms; 0 for an unknown server.
  double RemainingMs(const std::string& server, Micros now) const;
  /// Removes prompts that must have been prefilled long ago, and servers without any.
  void RemoveExpired(Micros now);

 private:
  struct QueuedPrompt {
    Micros sent_at = 0;
    double prefill_ms = 0;
  };
  struct Server {
    std::deque<QueuedPrompt> prompts;  // in the order of being sent
    Micros done_at = 0;                // when all of them are expected to be prefilled
  };

  std::map<std::string, Server> servers_;  // by instance id
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
