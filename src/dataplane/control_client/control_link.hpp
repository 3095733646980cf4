// A sidecar's link to the control plane: it watches one control process by long polls, fails over to another
// when that one does not respond, and reports the demand for models. Sockets and timers only: system_view.hpp
// holds the state, control_process_selector.hpp picks the control process.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/node_settings.hpp"
#include "common/time.hpp"
#include "dataplane/control_client/control_channel.hpp"
#include "dataplane/control_client/control_process_selector.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "dataplane/directory/directory.hpp"
#include "dataplane/usage/usage_counter.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// How soon the control plane should get a report of demand.
enum class DemandUrgency {
  kDeferred,   ///< with the next report or watch request
  kImmediate,  ///< a request waits for the model
};

/// Keeps the sidecar's directory up to date. Used on the thread of `io`.
class ControlLink {
 public:
  /// `on_directory` is called with each new directory.
  ControlLink(boost::asio::io_context& io, const NodeSettings& settings,
              std::function<void(DirectoryPtr)> on_directory);

  /// Begins to watch.
  void Start();
  /// Cancels all calls; the callback is not called any more.
  void Stop();
  /// Takes the seeds of new settings; nothing else may change.
  void Reload(const NodeSettings& settings);

  /// Whether a control process that is in contact with a quorum has answered so lately that this sidecar may
  /// refuse what its configuration does not allow.
  bool HasRecentQuorumAnswer(Micros now) const { return now - last_answer_at_ < kRecentAnswerWindow; }

  /// Whether a key that the configuration holds may still be used: where revoked keys must stop in time on
  /// every machine, one that is out of touch may miss a revocation.
  bool MayTrustKeys(Micros now) const { return !key_lifetime_ || now - last_answer_at_ < *key_lifetime_; }

  /// Adds to the demand that is reported next.
  void CountDemand(const ModelDemand& demand, DemandUrgency urgency);

  /// A server has begun to run a request of this tenant.
  void CountUsage(const std::string& tenant, Micros began_at) {
    if (reports_usage_) usage_.Count(tenant, began_at);
  }

  /// Addresses of the sidecars to which this one sends its load reports.
  const std::vector<std::string>& neighbors() const { return view_.neighbors(); }

 private:
  // Longer than two watches that wait for an update. With the age that the answer of a control process may
  // have, still shorter than a configuration may take to be in force.
  static constexpr Micros kRecentAnswerWindow = 1'500'000;
  // Longer ago than any time-out, on a machine that has just started too.
  static constexpr Micros kNever = std::numeric_limits<Micros>::min() / 2;

  void Watch();
  void OnWatched(int status, const std::string& body);
  bool ApplyReply(const std::string& body);
  std::vector<ModelDemand> TakeDemand();
  void SendDemand();

  boost::asio::io_context& io_;
  const std::function<void(DirectoryPtr)> on_directory_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer demand_timer_;
  bool demand_pending_ = false;
  bool demand_urgent_ = false;  // a request waits for one of its models
  ControlChannel watch_channel_;
  ControlChannel demand_channel_;  // of its own, as a watch request may be waiting for an update
  bool stopped_ = false;
  const std::optional<Micros> key_lifetime_;  // without an answer; empty if keys need not stop in time
  Micros watch_sent_at_ = 0;
  Micros last_answer_at_ = kNever;  // sending of the last watch after which this sidecar was up to date

  SystemView view_;
  ControlProcessSelector selector_;
  std::map<std::pair<std::string, std::string>, ModelDemand> demand_;
  const bool reports_usage_;
  UsageCounter usage_;
  UsageReport usage_in_flight_;  // of the watch in flight
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_
