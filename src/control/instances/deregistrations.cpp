#include "control/instances/deregistrations.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "common/utf8.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

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
  json phases = json::object();
  for (const auto& [id, phase] : phases_)
    if (IsUtf8(id)) phases[id] = phase;
  json order = json::array();
  for (const std::string& id : order_) order.push_back(IsUtf8(id) ? json(id) : SaveBytes(id));
  return json{{"phases", phases}, {"order", order}}.dump();
}

// Earlier versions accepted ids that are not UTF-8, which JSON cannot represent as text.
json Deregistrations::SaveBytes(const std::string& id) const {
  return {{"bytes", std::vector<std::uint8_t>(id.begin(), id.end())}, {"phase", phases_.at(id)}};
}

bool Deregistrations::Load(const std::string& saved) {
  try {
    LoadDecoded(json::parse(saved));
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

void Deregistrations::LoadDecoded(const json& saved) {
  saved.at("phases").get_to(phases_);
  order_.clear();
  for (const json& entry : saved.at("order")) {
    if (entry.is_object()) {
      const auto bytes = entry.at("bytes").get<std::vector<std::uint8_t>>();
      const std::string id(bytes.begin(), bytes.end());
      phases_[id] = entry.at("phase").get<Phase>();
      order_.push_back(id);
    } else {
      order_.push_back(entry.get<std::string>());
    }
  }
}

}  // namespace violetwing
