#include "lab/judge/told.hpp"

#include <algorithm>

namespace violetwing::lab {
namespace {

// Of a watch that fell silent, what it missed counts as told so long after, even if it never came.
constexpr Micros kSilentTold = 6'000'000;
// Whatever became of its calls, a change counts as told so long after discovery had it and could be reached.
constexpr Micros kToldAtLatest = 6'000'000;
// When a registry had a change and could be reached is not recorded: one that writes may be gone for a while,
// and nobody has the change then. There it counts by the older term, four times the time for asking.
constexpr Micros kToldByRegistries = 4 * kAskWithin;

bool Lasts(const FaultRecord& fault, Micros at) {
  return fault.begun != kNever && fault.begun <= at && (fault.ended == kNever || at < fault.ended);
}

bool IsOn(const std::vector<int>& numbers, int sidecar) {
  return std::find(numbers.begin(), numbers.end(), sidecar) != numbers.end();
}

}  // namespace

Told::Told(const Scenario& scenario, const Plan& plan, const Records& records)
    : scenario_(scenario), plan_(plan), records_(records) {
  for (const ToldRecord& one : records.told)
    words_[{one.sidecar, one.server}].push_back({one.at, one.lifecycle});
  for (const ChangeRecord& change : records.changes)
    for (int sidecar = 0; sidecar < scenario.fleet.sidecars; ++sidecar) AddMissed(sidecar, change);
  for (auto& [whom, words] : words_)
    std::stable_sort(words.begin(), words.end(), [](const Word& a, const Word& b) { return a.at < b.at; });
}

// Until when discovery could tell this sidecar nothing.
Micros Told::Back(int sidecar, Micros at) const {
  Micros back = at;
  for (const FaultRecord& fault : records_.faults) {
    const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault.fault)];
    const bool cut = spec.act == Act::kCut && spec.to.party == Party::kDiscovery &&
                     IsOn(plan_.faults[static_cast<std::size_t>(fault.fault)].on, sidecar);
    const bool out = spec.act == Act::kDown || spec.act == Act::kOverbooked || spec.act == Act::kStale;
    if ((cut || out) && Lasts(fault, at))
      back = std::max(back, fault.ended == kNever ? scenario_.length : fault.ended);
  }
  return back;
}

void Told::AddMissed(int sidecar, const ChangeRecord& change) {
  std::vector<Word>& words = words_[{sidecar, change.server}];
  const bool scripted = scenario_.registry.count == 0;
  Micros at = Back(sidecar, change.at) + (scripted ? kToldAtLatest : kToldByRegistries);
  for (const FaultRecord& fault : records_.faults) {
    const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault.fault)];
    if (spec.act == Act::kHalfOpen && spec.to.party == Party::kDiscovery && Lasts(fault, change.at) &&
        IsOn(plan_.faults[static_cast<std::size_t>(fault.fault)].on, sidecar))
      at = std::min(at, std::max(change.at, fault.begun + kSilentTold));
  }
  // Whatever it was told since, it has from there.
  const bool told = std::any_of(words.begin(), words.end(),
                                [&](const Word& word) { return word.at >= change.at && word.at <= at; });
  if (!told) words.push_back({at, change.lifecycle});
}

std::optional<Micros> Told::OutSince(int sidecar, const std::string& id, Micros at) const {
  const auto it = words_.find({sidecar, id});
  if (it == words_.end()) return std::nullopt;
  Micros since = kNever;
  for (const Word& word : it->second) {
    if (word.at > at) break;
    if (word.lifecycle == Lifecycle::kUp) {
      since = kNever;
    } else if (since == kNever) {
      since = word.at;
    }
  }
  return since;
}

bool Told::OfStart(int sidecar, const std::string& id, Micros started, Micros at) const {
  const auto it = words_.find({sidecar, id});
  if (it == words_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const Word& word) {
    return word.lifecycle == Lifecycle::kUp && word.at >= started && word.at <= at;
  });
}

}  // namespace violetwing::lab
