// Estimates the prefill queue of each server: the prompts that this sidecar or, by their load reports, other
// sidecars have sent to it and that it has not prefilled yet. A server prefills one prompt at a time, so the
// queue shrinks by one millisecond per millisecond, and the first byte of a response shows that its prompt
// and all earlier ones have been prefilled. Pure logic: it uses no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_

#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace violetwing {

/// Prefill queues of all servers, by instance id. Times are steady clock times and must not decrease.
class PrefillQueue {
 public:
  /// Adds a prompt whose prefill is expected to take `prefill_ms`.
  void Enqueue(const std::string& server_id, double prefill_ms, Micros now);
  /// Records that the prompt sent at `sent_at` and all those sent before it have been prefilled.
  void OnPrefillDone(const std::string& server_id, Micros sent_at, Micros now);
  /// Time until all prompts of the queue are prefilled, in ms; 0 for an unknown server.
  double RemainingMs(const std::string& server_id, Micros now) const;
  /// Removes prompts so old that they must have been prefilled, and servers with an empty queue.
  void RemoveExpired(Micros now);

 private:
  struct QueuedPrompt {
    Micros sent_at = 0;
    double prefill_ms = 0;
  };
  struct Server {
    std::deque<QueuedPrompt> prompts;  // in send order
    Micros done_at = 0;                // when the last of them is expected to be prefilled
  };

  std::map<std::string, Server> servers_;  // by instance id
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_QUEUE_HPP_
