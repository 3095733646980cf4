#include "control/core/watch_registry.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace violetwing {
namespace {

// Upper limit on the wait of a watch, whatever the caller requests.
constexpr int kMaxWaitMs = 2'000;
// A notification about changed instances costs each waiting sidecar a call and a new directory. The interval
// grows with the number of sidecars, so that each notification covers more changes.
constexpr Micros kNotificationIntervalPerSidecar = 750;
constexpr Micros kMinNotificationInterval = 5'000;
constexpr Micros kMaxNotificationInterval = 100'000;
// From this interval on, a watch that arrives between two notifications waits for the second one even if
// there are instance updates. With a shorter interval the wait for the next tick would cost more than it
// saves.
constexpr Micros kDeferFromInterval = 50'000;
// Minimum interval between two configurations sent to a sidecar. A configuration of hundreds of kB costs its
// sender and its receiver milliseconds, so a sidecar receives only the last of several changes in quick
// succession.
constexpr Micros kConfigurationInterval = 250'000;

constexpr Micros kMicrosPerMs = 1000;

}  // namespace

void WatchRegistry::Tick(Micros now) {
  std::erase_if(configuration_sent_at_,
                [&](const auto& entry) { return now - entry.second >= kConfigurationInterval; });
  notification_interval_ = std::clamp(sources_.sidecars.Count(now) * kNotificationIntervalPerSidecar,
                                      kMinNotificationInterval, kMaxNotificationInterval);
}

void WatchRegistry::Add(WatchRequest request, const Callback& done, Readiness readiness, Micros now) {
  const bool defer =
      notification_interval_ >= kDeferFromInterval && now - last_notification_at_ < notification_interval_;
  const AnswerPolicy policy = defer ? AnswerPolicy::kWithoutInstancesOnly : AnswerPolicy::kWithUpdates;
  if (TryAnswer(request, done, policy, readiness, now)) return;
  const Micros deadline = now + std::clamp(request.wait_ms, 0, kMaxWaitMs) * kMicrosPerMs;
  pending_.push_back({std::move(request), deadline, done});
}

void WatchRegistry::AnswerPending(Urgency urgency, Readiness readiness, Micros now) {
  const bool interval_over =
      urgency == Urgency::kImmediate || now - last_notification_at_ >= notification_interval_;
  const bool notify = (update_pending_ || configuration_deferred_) && interval_over;
  if (notify) {
    update_pending_ = false;
    configuration_deferred_ = false;
    last_notification_at_ = now;
  }
  for (auto it = pending_.begin(); it != pending_.end();) {
    const bool must_answer = now >= it->deadline || !readiness.has_quorum_contact;
    const AnswerPolicy policy = must_answer ? AnswerPolicy::kAlways : AnswerPolicy::kWithUpdates;
    const bool answered = (must_answer || notify) && TryAnswer(it->request, it->done, policy, readiness, now);
    it = answered ? pending_.erase(it) : std::next(it);
  }
}

void WatchRegistry::Cancel() {
  for (const PendingWatch& watch : pending_) watch.done(std::nullopt);
  pending_.clear();
}

bool WatchRegistry::TryAnswer(const WatchRequest& request, const Callback& done, AnswerPolicy policy,
                              Readiness readiness, Micros now) {
  if (!readiness.has_quorum_contact) {
    done(std::nullopt);
    return true;
  }
  const bool outdated = sources_.configuration.version() > request.configuration_version;
  ReplyContents contents;
  contents.complete_instances = readiness.instances_complete && request.incarnation != incarnation_;
  contents.configuration = outdated && MaySendConfiguration(request.node, policy, now);
  if (outdated && !contents.configuration) configuration_deferred_ = true;
  const bool due = policy == AnswerPolicy::kAlways || contents.complete_instances || contents.configuration;
  if (!due && !HasInstanceUpdates(request, policy)) return false;
  done(MakeReply(request, contents, now));
  return true;
}

bool WatchRegistry::HasInstanceUpdates(const WatchRequest& request, AnswerPolicy policy) {
  if (!sources_.instances.HasUpdatesFor(request.version_vector)) return false;
  if (policy != AnswerPolicy::kWithoutInstancesOnly) return true;
  update_pending_ = true;
  return false;
}

WatchReply WatchRegistry::MakeReply(const WatchRequest& request, ReplyContents contents, Micros now) {
  const bool list_is_from_this_process = contents.complete_instances || request.incarnation == incarnation_;
  WatchReply reply;
  reply.incarnation = list_is_from_this_process ? incarnation_ : std::string();
  reply.complete = contents.complete_instances;
  reply.configuration_version = sources_.configuration.version();
  if (contents.configuration) FillConfiguration(request, reply, now);
  // A complete list replaces the list of another process. The version vector of the request does not apply to
  // it, because it does not show which instances the sidecar has dropped since.
  const VersionVector known = contents.complete_instances ? VersionVector() : request.version_vector;
  reply.changed_instances = sources_.instances.ChangedSince(known);
  reply.version_vector = sources_.instances.version_vector();
  reply.control_nodes = sources_.gossip.LiveNodes(now);
  const SidecarRegistry::WindowPosition position = sources_.sidecars.WindowPositionOf(request.node, now);
  reply.window_position = position.index;
  reply.sidecar_count = position.count;
  reply.neighbors = sources_.sidecars.NeighborsOf(request.node, now);
  reply.true_time = sources_.true_time.At(now);
  if (reply.neighbors.hash == request.neighbors_hash) reply.neighbors.addresses.clear();
  return reply;
}

void WatchRegistry::FillConfiguration(const WatchRequest& request, WatchReply& reply, Micros now) {
  configuration_sent_at_[request.node] = now;
  std::optional<std::vector<std::string>> patches;
  if (request.accepts_patches) patches = sources_.configuration.PatchesSince(request.configuration_version);
  if (patches)
    reply.configuration_patches = std::move(*patches);
  else
    reply.configuration_document = sources_.configuration.document();
}

bool WatchRegistry::MaySendConfiguration(const std::string& sidecar, AnswerPolicy policy, Micros now) const {
  if (policy == AnswerPolicy::kAlways) return true;
  const auto sent = configuration_sent_at_.find(sidecar);
  return sent == configuration_sent_at_.end() || now - sent->second >= kConfigurationInterval;
}

}  // namespace violetwing
