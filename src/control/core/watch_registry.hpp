// The watches (long polls) of sidecars at one control process: which are pending, when each is answered, and
// with what. Answers are rate limited, because each costs the sidecar a call and a new routing directory. A
// core: it holds no clock, socket, file or thread.
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
  /// Called once for each watch, from within the calls below. Empty if this process cannot answer: it has no
  /// contact with a quorum, or it stops.
  using Callback = std::function<void(const std::optional<WatchReply>&)>;

  /// What replies are made of. The owner keeps them alive for longer than the registry.
  struct Sources {
    const configuration::State& configuration;
    const InstanceTable& instances;
    const SidecarRegistry& sidecars;
    const Gossip& gossip;
    const duties::TrueTime& true_time;
  };

  /// What this process may answer.
  struct Readiness {
    bool has_quorum_contact = false;
    /// The contact has lasted long enough for every live instance to have sent a heartbeat.
    bool instances_complete = false;
  };

  /// How soon pending watches are answered.
  enum class Urgency {
    kImmediate,    ///< pending watches are answered now
    kRateLimited,  ///< not before the interval between two notifications is over
  };

  /// `incarnation`: of this process.
  WatchRegistry(std::string incarnation, Sources sources)
      : incarnation_(std::move(incarnation)), sources_(sources) {}

  /// Adapts the rate limit to the number of sidecars. To be called at short intervals.
  void Tick(Micros now);
  /// Answers a watch at once if there is an update for it, else keeps it pending for as long as it asks, up
  /// to a limit.
  void Add(WatchRequest request, const Callback& done, Readiness readiness, Micros now);
  /// The configuration or the instances have changed since the last notification.
  void OnUpdate() { update_pending_ = true; }
  /// Answers the pending watches whose time is over, and if a notification is due also those with updates.
  void AnswerPending(Urgency urgency, Readiness readiness, Micros now);
  /// Answers all pending watches with nothing.
  void Cancel();

 private:
  struct PendingWatch {
    WatchRequest request;
    Micros deadline = 0;
    Callback done;
  };
  enum class AnswerPolicy {
    kAlways,               // also without updates: the time of the watch is over
    kWithUpdates,          // if there are any
    kWithoutInstancesOnly  // the same, but updates of instances alone wait for the next notification
  };
  // How a reply depends on what the sidecar knows.
  struct ReplyContents {
    bool complete_instances = false;
    bool configuration = false;
  };

  // Answers unless the policy lets the watch wait: false if it is still to be answered.
  bool TryAnswer(const WatchRequest& request, const Callback& done, AnswerPolicy policy, Readiness readiness,
                 Micros now);
  // Whether to answer for the sake of instances. If the policy defers that, notes that a notification is due.
  bool HasInstanceUpdates(const WatchRequest& request, AnswerPolicy policy);
  WatchReply MakeReply(const WatchRequest& request, ReplyContents contents, Micros now);
  void FillConfiguration(const WatchRequest& request, WatchReply& reply, Micros now);
  bool MaySendConfiguration(const std::string& sidecar, AnswerPolicy policy, Micros now) const;

  const std::string incarnation_;
  const Sources sources_;
  std::deque<PendingWatch> pending_;
  bool update_pending_ = false;          // since the last notification
  bool configuration_deferred_ = false;  // a sidecar waits for it because of the rate limit
  Micros last_notification_at_ = 0;
  Micros notification_interval_ = 0;
  std::map<std::string, Micros> configuration_sent_at_;  // by sidecar, of the last interval alone
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CORE_WATCH_REGISTRY_HPP_
