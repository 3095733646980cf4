#include "dataplane/control_client/system_view.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "messages/phase_name.hpp"

namespace violetwing {
WatchRequest SystemView::NextWatchRequest(int wait_ms, std::vector<ModelDemand> demand) const {
  WatchRequest request;
  request.node = node_;
  request.load_report_address = load_report_address_;
  request.neighbors_hash = neighbors_.hash;
  request.incarnation = control_incarnation_;
  request.configuration_version = version();
  request.accepts_patches = accepts_patches_;
  request.version_vector = version_vector_;
  request.wait_ms = wait_ms;
  request.demand = std::move(demand);
  return request;
}

bool SystemView::Apply(const WatchReply& reply) {
  const bool index_changed = reply.window_position != sidecar_index_ || reply.sidecar_count != sidecar_count_;
  const bool configuration_changed = ApplyConfiguration(reply);
  const bool instances_changed = ApplyInstances(reply);
  control_incarnation_ = reply.incarnation;
  control_nodes_ = reply.control_nodes;
  const bool neighbors_changed = reply.neighbors.hash != neighbors_.hash;
  if (neighbors_changed) neighbors_ = reply.neighbors;
  sidecar_index_ = reply.window_position;
  sidecar_count_ = reply.sidecar_count;
  return index_changed || configuration_changed || instances_changed || neighbors_changed;
}

bool SystemView::ApplyConfiguration(const WatchReply& reply) {
  if (reply.configuration_version <= version()) return false;
  if (reply.configuration_document.empty() && reply.configuration_patches.empty()) return false;
  std::optional<configuration::ReadResult> read = ParseConfiguration(reply);
  accepts_patches_ =
      read && read->configuration != nullptr;  // otherwise the next request asks for the full document
  if (!accepts_patches_) {
    spdlog::error("configuration rejected version={} findings={}", reply.configuration_version,
                  read ? ToText(read->findings) : "patches do not apply to the current version");
    return false;
  }
  configuration_ = std::move(read->configuration);
  configuration_message_ = std::move(read->message);
  base_directory_ =
      std::make_shared<const Directory>(configuration_, std::map<std::string, Instance>(), 0, 1);
  spdlog::info("configuration applied version={} routes={} tenants={}", version(),
               configuration_->routes.size(), configuration_->tenants.size());
  return true;
}

// Empty if the patches do not turn the current version into the reply's version.
std::optional<configuration::ReadResult> SystemView::ParseConfiguration(const WatchReply& reply) const {
  if (reply.configuration_patches.empty()) return configuration::Read(reply.configuration_document);
  if (configuration_message_ == nullptr) return std::nullopt;
  std::vector<nlohmann::ordered_json> patches;
  for (const std::string& patch : reply.configuration_patches)
    patches.push_back(nlohmann::ordered_json::parse(patch, nullptr, /*allow_exceptions=*/false));
  std::optional<configuration::ReadResult> read =
      configuration::ReadPatched(*configuration_message_, patches);
  const bool is_valid =
      read && read->configuration != nullptr && read->configuration->version == reply.configuration_version;
  return is_valid ? std::move(read) : std::nullopt;
}

bool SystemView::ApplyInstances(const WatchReply& reply) {
  if (reply.complete) {
    ReplaceInstances(reply);
    return true;
  }
  for (const Instance& instance : reply.changed_instances) MergeInstance(instance);
  for (const auto& [origin, counter] : reply.version_vector)
    version_vector_[origin] = std::max(version_vector_[origin], counter);
  return !reply.changed_instances.empty();
}

// Replaces the instances that another control process had sent. Keeps the draining or removed phase of a
// server, as the new control process may not have learned of it yet.
void SystemView::ReplaceInstances(const WatchReply& reply) {
  const std::map<std::string, Instance> before = std::exchange(instances_, {});
  for (const Instance& instance : reply.changed_instances) {
    const auto known = before.find(instance.id);
    const bool leaving = known != before.end() && IsLeaving(known->second.phase);
    if (leaving) instances_[instance.id] = known->second;
    MergeInstance(instance);
  }
  // Replaced rather than merged: drops the counters of control processes that have ended.
  version_vector_ = reply.version_vector;
}

void SystemView::MergeInstance(const Instance& instance) {
  const auto it = instances_.find(instance.id);
  if (it == instances_.end()) {
    if (instance.phase != Phase::kDeregistered) instances_[instance.id] = instance;
    return;
  }
  Instance& known = it->second;
  if (instance.sequence < known.sequence && !IsLeaving(instance.phase)) return;
  const Phase phase = MergePhase(known.phase, instance.phase);
  if (IsLeaving(phase) && !IsLeaving(known.phase))
    spdlog::info("server leaving instance={} phase={}", instance.id, Name(phase));
  known = instance;
  known.phase = phase;
}

DirectoryPtr SystemView::MakeDirectory() const {
  return std::make_shared<const Directory>(*base_directory_, instances_, sidecar_index_, sidecar_count_);
}

}  // namespace violetwing
