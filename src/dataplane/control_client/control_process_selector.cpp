#include "dataplane/control_client/control_process_selector.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Minimum time from a failure until a sidecar fails back to its own zone's control processes.
constexpr Micros kFailBackDelay = 5'000'000;

}  // namespace

const std::string& ControlProcessSelector::Current(const std::vector<ControlNode>& known) {
  if (current_.empty()) SelectNext(known);
  return current_;
}

std::vector<std::string> ControlProcessSelector::AddressesInOwnZone(
    const std::vector<ControlNode>& known) const {
  std::vector<std::string> addresses;
  for (const ControlNode& node : known)
    if (node.zone == zone_) addresses.push_back(node.address);
  return addresses;
}

void ControlProcessSelector::SortByPreference(std::vector<std::string>& addresses) const {
  std::sort(addresses.begin(), addresses.end(), [this](const std::string& a, const std::string& b) {
    return Hash(preference_seed_, a) < Hash(preference_seed_, b);
  });
}

void ControlProcessSelector::OnAnswered(const std::vector<ControlNode>& known, Micros now) {
  failed_.clear();
  const bool failed_recently = failed_at_ > 0 && now - failed_at_ < kFailBackDelay;
  const std::vector<std::string> own_zone = AddressesInOwnZone(known);
  const bool in_own_zone = std::find(own_zone.begin(), own_zone.end(), current_) != own_zone.end();
  if (!failed_recently && !own_zone.empty() && (from_seeds_ || !in_own_zone)) SelectNext(known);
}

void ControlProcessSelector::OnFailed(const std::vector<ControlNode>& known, Micros now) {
  failed_at_ = now;
  if (!current_.empty()) failed_.push_back(current_);
  SelectNext(known);
}

// Ordered: control processes of the sidecar's own zone, other known ones, seeds.
std::vector<std::string> ControlProcessSelector::Candidates(const std::vector<ControlNode>& known) const {
  std::vector<std::string> addresses = AddressesInOwnZone(known);
  SortByPreference(addresses);
  const auto missing = [&](const std::string& address) {
    return std::find(addresses.begin(), addresses.end(), address) == addresses.end();
  };
  std::vector<std::string> others;
  for (const ControlNode& node : known)
    if (missing(node.address)) others.push_back(node.address);
  SortByPreference(others);
  addresses.insert(addresses.end(), others.begin(), others.end());
  for (const std::string& seed : seeds_)
    if (missing(seed)) addresses.push_back(seed);
  return addresses;
}

void ControlProcessSelector::SelectNext(const std::vector<ControlNode>& known) {
  const std::vector<std::string> candidates = Candidates(known);
  std::vector<std::string> not_failed;
  for (const std::string& address : candidates)
    if (std::find(failed_.begin(), failed_.end(), address) == failed_.end()) not_failed.push_back(address);
  if (not_failed.empty()) {
    failed_.clear();
    not_failed = candidates;
  }
  if (not_failed.empty()) return;
  // A random seed node, so that not all sidecars connect to the first one at startup.
  from_seeds_ = known.empty();
  current_ = from_seeds_ ? not_failed[random_.Below(not_failed.size())] : not_failed.front();
}

}  // namespace violetwing
