// A sidecar's link to the control plane: watches one control process by long polling, fails over to another
// one when it does not respond, and reports demand for models and usage. This file holds only the sockets and
// timers: system_view.hpp merges the state, control_process_selector.hpp picks the control process.
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

/// How soon demand must be reported to the control plane.
enum class DemandUrgency {
  kDeferred,   ///< with the next report or watch request
  kImmediate,  ///< a request waits for the model
};

/// Keeps the sidecar's directory up to date. Must be used on the thread of `io` only.
class ControlLink {
 public:
  /// `on_directory` is called with each new directory.
  ControlLink(boost::asio::io_context& io, const NodeSettings& settings,
              std::function<void(DirectoryPtr)> on_directory);

  /// Starts watching a control process.
  void Start();
  /// Cancels all calls. `on_directory` is not called after this.
  void Stop();
  /// Applies the seed nodes of `settings`. All other settings take effect only at a restart.
  void Reload(const NodeSettings& settings);

  /// Whether a control process in contact with a quorum has responded so recently that this sidecar may
  /// reject requests which its configuration does not allow. Without that, its configuration may be outdated.
  bool HasRecentQuorumAnswer(Micros now) const { return now - last_current_reply_at_ < kRecentAnswerWindow; }

  /// Whether API keys of the current configuration may be accepted. If revocations must take effect within a
  /// time limit, a sidecar that has lost the control plane stops accepting keys, as it may have missed a
  /// revocation.
  bool MayTrustKeys(Micros now) const {
    return !key_lifetime_ || now - last_current_reply_at_ < *key_lifetime_;
  }

  /// Adds `demand` to the next report.
  void CountDemand(const ModelDemand& demand, DemandUrgency urgency);

  /// Counts a request of this tenant that a server began to run at `began_at` (steady clock).
  void CountUsage(const std::string& tenant, Micros began_at) {
    if (reports_usage_) usage_.Count(tenant, began_at);
  }

  /// Addresses of the sidecars to which this one sends its load reports.
  const std::vector<std::string>& neighbors() const { return view_.neighbors(); }

 private:
  // Longer than two long polls that time out without an update. Together with the maximum age of a response,
  // it is still shorter than the time within which a new configuration must be in force.
  static constexpr Micros kRecentAnswerWindow = 1'500'000;
  // Before any timeout, even on a machine that has just booted, where the steady clock is near 0.
  static constexpr Micros kNever = std::numeric_limits<Micros>::min() / 2;

  void Watch();
  void OnWatchFinished(int status, const std::string& body);
  bool ApplyReply(const std::string& body);
  std::vector<ModelDemand> TakeDemand();
  void SendDemand();

  boost::asio::io_context& io_;
  const std::function<void(DirectoryPtr)> on_directory_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer demand_timer_;
  bool demand_pending_ = false;  // `demand_timer_` is running
  bool demand_urgent_ = false;   // a request is waiting for one of the models in `demand_`
  ControlChannel watch_channel_;
  ControlChannel demand_channel_;  // separate, as a watch request may wait for an update for a while
  bool stopped_ = false;
  const std::optional<Micros> key_lifetime_;  // max. age of the last current reply; empty: no limit
  Micros watch_sent_at_ = 0;
  Micros last_current_reply_at_ = kNever;  // send time of the last watch that left this sidecar up to date

  SystemView view_;
  ControlProcessSelector selector_;
  std::map<std::pair<std::string, std::string>, ModelDemand> demand_;
  const bool reports_usage_;
  UsageCounter usage_;
  UsageReport usage_in_flight_;  // sent with the watch in flight
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_
