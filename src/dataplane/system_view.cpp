#include "system_view.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace violetwing {
PullRequest SystemView::NextPull(int wait_ms, std::vector<ModelDemand> demand) const {
  PullRequest request;
  request.node = node_;
  request.address = address_;
  request.neighbors_hash = neighbors_.hash;
  request.source = source_;
  request.configuration = version();
  request.known = known_;
  request.wait_ms = wait_ms;
  request.demand = std::move(demand);
  return request;
}

bool SystemView::Take(const PullReply& reply) {
  const bool moved = reply.number != number_ || reply.sidecars != sidecars_;
  const bool configured = TakeConfiguration(reply);
  const bool listed = TakeInstances(reply);
  source_ = reply.source;
  controls_ = reply.controls;
  const bool met = reply.neighbors.hash != neighbors_.hash;
  if (met) neighbors_ = reply.neighbors;
  number_ = reply.number;
  sidecars_ = reply.sidecars;
  return moved || configured || listed || met;
}

bool SystemView::TakeConfiguration(const PullReply& reply) {
  if (reply.configuration <= version() || reply.document.empty()) return false;
  configuration::ReadResult read = configuration::Read(reply.document);
  if (read.configuration == nullptr) {
    spdlog::error("version {} cannot be read: {}", reply.configuration, ToText(read.findings));
    return false;
  }
  configuration_ = std::move(read.configuration);
  spdlog::info("configuration of version {} is in force", version());
  return true;
}

bool SystemView::TakeInstances(const PullReply& reply) {
  if (reply.whole) {
    Replace(reply);
    return true;
  }
  for (const Instance& instance : reply.changed) Merge(instance);
  for (const auto& [origin, counter] : reply.known) known_[origin] = std::max(known_[origin], counter);
  return !reply.changed.empty();
}

// What another control process had told goes, but that a server leaves: this one may hear of it later.
void SystemView::Replace(const PullReply& reply) {
  const std::map<std::string, Instance> before = std::exchange(instances_, {});
  for (const Instance& instance : reply.changed) {
    const auto known = before.find(instance.id);
    const bool leaves = known != before.end() && Leaves(known->second.phase);
    if (leaves) instances_[instance.id] = known->second;
    Merge(instance);
  }
  // Lives of control processes that are over leave nothing behind.
  known_ = reply.known;
}

void SystemView::Merge(const Instance& instance) {
  const auto it = instances_.find(instance.id);
  if (it == instances_.end()) {
    if (instance.phase != Phase::kGone) instances_[instance.id] = instance;
    return;
  }
  Instance& known = it->second;
  if (instance.sequence < known.sequence && !Leaves(instance.phase)) return;
  const Phase phase = LaterPhase(known.phase, instance.phase);
  known = instance;
  known.phase = phase;
}

DirectoryPtr SystemView::MakeDirectory() const {
  return std::make_shared<const Directory>(configuration_, instances_, number_, sidecars_);
}

}  // namespace violetwing
