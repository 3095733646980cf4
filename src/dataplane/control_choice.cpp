#include "control_choice.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// After a failure the own zone's control process is not asked again for so long.
constexpr ControlChoice::Micros kComeBackAfter = 5'000'000;

}  // namespace

const std::string& ControlChoice::Current(const std::vector<ControlNode>& known) {
  if (current_.empty()) Pick(known);
  return current_;
}

bool ControlChoice::InOwnZone(const std::string& address, const std::vector<ControlNode>& known) const {
  return std::any_of(known.begin(), known.end(),
                     [&](const ControlNode& node) { return node.zone == zone_ && node.address == address; });
}

void ControlChoice::OnAnswered(const std::vector<ControlNode>& known, Micros now) {
  failed_.clear();
  const bool lately = failed_at_ > 0 && now - failed_at_ < kComeBackAfter;
  if (!lately && !InOwnZone(current_, known)) Pick(known);
}

void ControlChoice::OnFailed(const std::vector<ControlNode>& known, Micros now) {
  failed_at_ = now;
  if (!current_.empty()) failed_.push_back(current_);
  Pick(known);
}

// Those of the own zone first, then the others that are known, then the seeds.
std::vector<std::string> ControlChoice::Candidates(const std::vector<ControlNode>& known) const {
  std::vector<std::string> out;
  const auto add = [&](const std::string& address) {
    if (std::find(out.begin(), out.end(), address) == out.end()) out.push_back(address);
  };
  for (const ControlNode& node : known)
    if (node.zone == zone_) add(node.address);
  for (const ControlNode& node : known) add(node.address);
  for (const std::string& seed : seeds_) add(seed);
  return out;
}

void ControlChoice::Pick(const std::vector<ControlNode>& known) {
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
  current_ = known.empty() ? untried[random_.Below(untried.size())] : untried.front();
}

}  // namespace violetwing
