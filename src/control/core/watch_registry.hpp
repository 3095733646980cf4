// The watches (long polls) of sidecars at one control process: keeps the pending ones, and decides when and
// with what content each is answered. Answers are rate limited, because each costs the sidecar a call and a
// new routing directory. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_CORE_WATCH_REGISTRY_HPP_
#define VIOLETWING_CONTROL_CORE_WATCH_REGISTRY_HPP_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/duties/true_time.hpp"
#include "control/gossip/gossip.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "control/instances/instance_table.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// Times are in microseconds of one steady clock.
class WatchRegistry {
 public:
  /// Called once for each watch, from within the functions below. The reply is empty if this process cannot
  /// answer, because it has no contact with a quorum or is stopping.
  using Callback = std::function<void(const std::optional<WatchReply>&)>;

  /// The state that replies are built from. It must outlive the registry.
  struct Sources {
    const configuration::State& configuration;
    const InstanceTable& instances;
    const SidecarRegistry& sidecars;
    const Gossip& gossip;
    const duties::TrueTime& true_time;
  };

  /// What this process may put into replies.
  struct Readiness {
    bool has_quorum_contact = false;
    /// The contact has lasted long enough for every live instance to have sent a heartbeat.
    bool instances_complete = false;
  };

  /// How soon pending watches are answered.
  enum class Urgency {
    kImmediate,    ///< now
    kRateLimited,  ///< once the interval since the last notification is over
  };

  /// `incarnation`: of this process.
  WatchRegistry(std::string incarnation, Sources sources)
      : incarnation_(std::move(incarnation)), sources_(sources) {}

  /// Adapts the rate limit to the number of sidecars. To be called at short intervals.
  void Tick(Micros now);
  /// Answers a watch at once if there is an update for it, else keeps it pending for the time that it
  /// requests, up to a limit.
  void Add(WatchRequest request, const Callback& done, Readiness readiness, Micros now);
  /// The configuration or the instances have changed since the last notification.
  void OnUpdate() { update_pending_ = true; }
  /// Answers the pending watches that have reached their deadline, and if a notification is due also those
  /// with updates.
  void AnswerPending(Urgency urgency, Readiness readiness, Micros now);
  /// Ends all pending watches without a reply.
  void Cancel();

 private:
  struct PendingWatch {
    WatchRequest request;
    Micros deadline = 0;
    Callback done;
  };
  enum class AnswerPolicy {
    kAlways,               // also without updates, because the deadline is reached
    kWithUpdates,          // only if there are updates
    kWithoutInstancesOnly  // likewise, but instance updates alone wait for the next notification
  };
  // The optional parts of a reply.
  struct ReplyContents {
    bool complete_instances = false;
    bool configuration = false;
  };

  // Answers the watch if the policy allows it. Returns false if the watch stays pending.
  bool TryAnswer(const WatchRequest& request, const Callback& done, AnswerPolicy policy, Readiness readiness,
                 Micros now);
  // Whether to answer because instances have changed. If the policy defers such answers, records that a
  // notification is due.
  bool HasInstanceUpdates(const WatchRequest& request, AnswerPolicy policy);
  WatchReply MakeReply(const WatchRequest& request, ReplyContents contents, Micros now);
  void FillConfiguration(const WatchRequest& request, WatchReply& reply, Micros now);
  bool MaySendConfiguration(const std::string& sidecar, AnswerPolicy policy, Micros now) const;

  const std::string incarnation_;
  const Sources sources_;
  std::deque<PendingWatch> pending_;
  bool update_pending_ = false;          // there are updates since the last notification
  bool configuration_deferred_ = false;  // the rate limit has held back a configuration
  Micros last_notification_at_ = 0;
  Micros notification_interval_ = 0;
  std::map<std::string, Micros> configuration_sent_at_;  // by sidecar; entries of the last interval only
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CORE_WATCH_REGISTRY_HPP_
