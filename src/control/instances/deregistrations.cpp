#include "control/instances/deregistrations.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// The oldest ids can be evicted safely: ids are never reused, and heartbeats are delayed by seconds at most.
constexpr std::size_t kMaxEntries = 4000;

}  // namespace

void Deregistrations::Apply(const std::string& id, Phase phase) {
  const auto [it, inserted] = phases_.try_emplace(id, phase);
  it->second = std::max(it->second, phase);
  if (!inserted) return;
  order_.push_back(id);
  if (order_.size() <= kMaxEntries) return;
  phases_.erase(order_.front());
  order_.pop_front();
}

std::optional<Phase> Deregistrations::Find(const std::string& id) const {
  const auto it = phases_.find(id);
  if (it == phases_.end()) return std::nullopt;
  return it->second;
}

std::string Deregistrations::Save() const {
  return nlohmann::json{{"phases", phases_}, {"order", order_}}.dump();
}

bool Deregistrations::Load(const std::string& saved) {
  try {
    const nlohmann::json in = nlohmann::json::parse(saved);
    in.at("phases").get_to(phases_);
    in.at("order").get_to(order_);
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

}  // namespace violetwing
