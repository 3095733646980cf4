#include "lab/links.hpp"

#include <algorithm>
#include <string>

namespace violetwing::lab {

Links::Links(asio::io_context& io, const Clock& clock, const Scenario& scenario, const Plan& plan,
             bool scripted)
    : io_(io), clock_(clock), scenario_(scenario), plan_(plan), scripted_(scripted) {
  for (std::size_t i = 0; i < scenario.faults.size(); ++i)
    for (const Pair& pair : PairsOf(static_cast<int>(i))) linked_.insert(pair);
  // The lab hears on these links what a registry tells a sidecar.
  for (int sidecar = 0; sidecar < scenario.fleet.sidecars && !scripted; ++sidecar)
    for (int registry = 0; registry < scenario.registry.count; ++registry)
      linked_.insert({sidecar, Registry(registry)});
  if (scenario.network.same <= 0 && scenario.network.cross <= 0) return;
  for (int sidecar = 0; sidecar < scenario.fleet.sidecars; ++sidecar)
    for (int server = 0; server < scenario.fleet.servers; ++server) linked_.insert({sidecar, server});
}

std::vector<Links::Pair> Links::PairsOf(int fault) const {
  std::vector<Pair> out;
  const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault)];
  const FaultPlan& plan = plan_.faults[static_cast<std::size_t>(fault)];
  if (spec.to.text.empty()) return out;
  for (const int from : plan.on) AddPairs(spec.on.party, from, spec.to, plan.to, out);
  return out;
}

void Links::AddPairs(Party from_party, int from, const Selector& to, const std::vector<int>& numbers,
                     std::vector<Pair>& out) const {
  const bool primary = std::find(numbers.begin(), numbers.end(), 0) != numbers.end();
  if (to.party == Party::kRegistry && scripted_) {
    if (from_party == Party::kSidecar && primary) out.emplace_back(from, kDiscovery);
    return;
  }
  if (from_party == Party::kServer) from = FromServer(from);
  if (from_party == Party::kRegistry) from = FromRegistry(from);
  if (to.party == Party::kDiscovery) out.emplace_back(from, kDiscovery);
  if (to.party == Party::kSidecar) out.emplace_back(from, kClients);
  for (const int number : numbers) {
    if (to.party == Party::kServer) out.emplace_back(from, number);
    if (to.party == Party::kRegistry && from != FromRegistry(number))
      out.emplace_back(from, Registry(number));
  }
}

void Links::SetTap(int sidecar, int server, StreamLink::Tap tap) {
  links_.at({sidecar, server})->SetTap(std::move(tap));
}

Tcp::endpoint Links::Address(int sidecar, int server, const Tcp::endpoint& target) {
  const Pair pair{sidecar, server};
  if (linked_.count(pair) == 0) return target;
  std::unique_ptr<StreamLink>& link = links_[pair];
  if (link == nullptr) {
    const std::uint64_t seed =
        Hash(plan_.seed, "link " + std::to_string(sidecar) + " " + std::to_string(server));
    link = std::make_unique<StreamLink>(io_, clock_, target, seed, times_);
    if (far_.count(server) > 0) link->FollowFar(far_[server]);
    Set(pair);
  }
  return link->address();
}

void Links::FollowFar(int server, Door::State state) {
  far_[server] = state;
  for (const auto& [pair, link] : links_)
    if (pair.second == server) link->FollowFar(state);
}

void Links::Forget(int server) {
  std::erase_if(links_, [&](const auto& one) { return one.first.second == server; });
}

void Links::Set(const Pair& pair) {
  const auto link = links_.find(pair);
  if (link == links_.end()) return;
  LaneState there;
  if (pair.second >= 0) {
    const int zone = plan_.servers[static_cast<std::size_t>(pair.second)].zone;
    const bool same = plan_.sidecar_zones[static_cast<std::size_t>(pair.first)] == zone;
    there.delay = same ? scenario_.network.same : scenario_.network.cross;
  }
  LaneState back = there;
  for (const int fault : active_) {
    const auto pairs = PairsOf(fault);
    if (std::find(pairs.begin(), pairs.end(), pair) == pairs.end()) continue;
    const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault)];
    for (LaneState* const lane : {&there, &back}) {
      if (spec.direction != Direction::kBoth && (spec.direction == Direction::kThere) != (lane == &there))
        continue;
      if (spec.act == Act::kCut) lane->cut = true;
      if (spec.act == Act::kRate) lane->bytes_per_s = spec.value * 1e3;
      if (spec.act != Act::kDelay) continue;
      lane->delay += static_cast<Micros>(spec.value * 1e3);
      lane->jitter = std::max(lane->jitter, spec.jitter);
    }
  }
  link->second->Set(there, back);
}

void Links::Apply(int fault, bool begin) {
  if (begin) {
    active_.insert(fault);
  } else {
    active_.erase(fault);
  }
  const Act act = scenario_.faults[static_cast<std::size_t>(fault)].act;
  for (const Pair& pair : PairsOf(fault)) {
    Set(pair);
    const auto link = links_.find(pair);
    if (link == links_.end()) continue;
    if (act == Act::kReset && begin) link->second->Reset();
    if (act == Act::kHalfOpen) begin ? link->second->HalfOpen() : link->second->Reset();
  }
}

}  // namespace violetwing::lab
