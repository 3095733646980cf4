#include "dataplane/control_client/control_process_selector.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// After a failure a sidecar stays away from its own zone's control processes for so long.
constexpr Micros kFailBackDelay = 5'000'000;

}  // namespace

const std::string& ControlProcessSelector::Current(const std::vector<ControlNode>& known) {
  if (current_.empty()) Pick(known);
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
  std::sort(addresses.begin(), addresses.end(),
            [this](const std::string& a, const std::string& b) { return Hash(order_, a) < Hash(order_, b); });
}

void ControlProcessSelector::OnAnswered(const std::vector<ControlNode>& known, Micros now) {
  failed_.clear();
  const bool failed_recently = failed_at_ > 0 && now - failed_at_ < kFailBackDelay;
  const std::vector<std::string> own = AddressesInOwnZone(known);
  const bool in_own = std::find(own.begin(), own.end(), current_) != own.end();
  if (!failed_recently && !own.empty() && (from_seeds_ || !in_own)) Pick(known);
}

void ControlProcessSelector::OnFailed(const std::vector<ControlNode>& known, Micros now) {
  failed_at_ = now;
  if (!current_.empty()) failed_.push_back(current_);
  Pick(known);
}

// Control processes of the sidecar's zone first, then the other known ones, then the seeds.
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

void ControlProcessSelector::Pick(const std::vector<ControlNode>& known) {
  const std::vector<std::string> candidates = Candidates(known);
  std::vector<std::string> not_failed;
  for (const std::string& address : candidates)
    if (std::find(failed_.begin(), failed_.end(), address) == failed_.end()) not_failed.push_back(address);
  if (not_failed.empty()) {
    failed_.clear();
    not_failed = candidates;
  }
  if (not_failed.empty()) return;
  // A random seed, so that not all sidecars start at the first one.
  from_seeds_ = known.empty();
  current_ = from_seeds_ ? not_failed[random_.Below(not_failed.size())] : not_failed.front();
}

}  // namespace violetwing
