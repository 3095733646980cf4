#include "dataplane/control_client/control_process_selector.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// After a failure the own zone's control process is not asked again for so long.
constexpr Micros kComeBackAfter = 5'000'000;

}  // namespace

const std::string& ControlProcessSelector::Current(const std::vector<ControlNode>& known) {
  if (current_.empty()) Pick(known);
  return current_;
}

std::vector<std::string> ControlProcessSelector::OwnZone(const std::vector<ControlNode>& known) const {
  std::vector<std::string> out;
  for (const ControlNode& node : known)
    if (node.zone == zone_) out.push_back(node.address);
  return out;
}

void ControlProcessSelector::Sort(std::vector<std::string>& addresses) const {
  std::sort(addresses.begin(), addresses.end(),
            [this](const std::string& a, const std::string& b) { return Hash(order_, a) < Hash(order_, b); });
}

void ControlProcessSelector::OnAnswered(const std::vector<ControlNode>& known, Micros now) {
  failed_.clear();
  const bool lately = failed_at_ > 0 && now - failed_at_ < kComeBackAfter;
  const std::vector<std::string> own = OwnZone(known);
  const bool in_own = std::find(own.begin(), own.end(), current_) != own.end();
  if (!lately && !own.empty() && (from_seeds_ || !in_own)) Pick(known);
}

void ControlProcessSelector::OnFailed(const std::vector<ControlNode>& known, Micros now) {
  failed_at_ = now;
  if (!current_.empty()) failed_.push_back(current_);
  Pick(known);
}

// Those of the own zone first, then the others that are known, then the seeds.
std::vector<std::string> ControlProcessSelector::Candidates(const std::vector<ControlNode>& known) const {
  std::vector<std::string> out = OwnZone(known);
  Sort(out);
  const auto missing = [&](const std::string& address) {
    return std::find(out.begin(), out.end(), address) == out.end();
  };
  std::vector<std::string> others;
  for (const ControlNode& node : known)
    if (missing(node.address)) others.push_back(node.address);
  Sort(others);
  out.insert(out.end(), others.begin(), others.end());
  for (const std::string& seed : seeds_)
    if (missing(seed)) out.push_back(seed);
  return out;
}

void ControlProcessSelector::Pick(const std::vector<ControlNode>& known) {
  const std::vector<std::string> candidates = Candidates(known);
  std::vector<std::string> untried;
  for (const std::string& address : candidates)
    if (std::find(failed_.begin(), failed_.end(), address) == failed_.end()) untried.push_back(address);
  if (untried.empty()) {
    failed_.clear();
    untried = candidates;
  }
  if (untried.empty()) return;
  // Seeds are taken by chance, so that not all sidecars ask the first.
  from_seeds_ = known.empty();
  current_ = from_seeds_ ? untried[random_.Below(untried.size())] : untried.front();
}

}  // namespace violetwing
