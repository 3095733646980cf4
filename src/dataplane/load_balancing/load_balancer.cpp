#include "dataplane/load_balancing/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing {
namespace {

// Servers in a window at most: enough to choose from, and few enough that each keeps its connections and
// caches.
constexpr std::size_t kWindow = 8;
constexpr int kDraws = 8;
// After so many failures in a row a server is ejected, first for so long, then twice that and so on.
constexpr int kFailuresToEject = 3;
constexpr Micros kEjectBase = 500'000;
constexpr Micros kEjectMost = 8'000'000;
// A server that said that it is full is passed over for so long, if another one is there.
constexpr Micros kFullFor = 150'000;
// One that did not hold what was asked of it is not asked for that again for so long.
constexpr Micros kLacksFor = 1'500'000;
// What a server told of its load is worth half after so long.
constexpr double kLoadHalfLife = 300'000;
// A server that has answered nothing for so long is the last to be taken.
constexpr Micros kSilentFor = 700'000;
// Time that a token takes to be read by a model of which nothing is known, in ms: that of a slow one.
constexpr double kUnknownReadMs = 0.034;
// What a request that runs adds to the time in which a prompt is read, and one that waits for a place, in ms.
constexpr double kRunningMs = 8;
constexpr double kWaitingMs = 60;
// What a new connection, and bytes between zones, may cost in time until a prompt is read, in ms: less than a
// prompt of thousands of tokens takes, so that they decide among servers that are about as busy.
constexpr double kNewConnectionMs = 40;
constexpr double kOtherZoneMs = 15;
// What a new connection counts as where prompts are not told, in requests in flight.
constexpr double kNewConnectionRequests = 0.5;
// What a server that is full, and one that is silent, count as, in ms.
constexpr double kFullMs = 3000;
constexpr double kSilentMs = 30000;
// Shorter prompts tell little of how fast a server reads, nor do those that waited longer than they were
// read.
constexpr double kLeastSampleTokens = 2000;
constexpr double kSampleFades = 0.9;
// One that is so much faster than the model is known to be had parts of its prompt kept by the server
// already.
constexpr double kPlausibleShare = 0.15;
// Servers that keep one prompt's shared parts, and the share of these that is expected there.
constexpr std::size_t kHomes = 2;
constexpr double kHomeShare = 0.3;
// The share of a server's memory that this sidecar's guess of its cache may fill.
constexpr double kCacheTokens = 150'000;
// Prompts that take so long to be read hold up a server enough that other sidecars should know at once, in
// ms.
constexpr double kHeavyMs = 30;
// Prompts that one report tells of at most; what is left out is merely not known elsewhere.
constexpr std::size_t kMostPrompts = 16;
// No prompt takes longer to be read; what tells of one is not believed.
constexpr double kMostReadMs = 60'000;

std::string WeightsKey(const LoadBalancer::RequestAttributes& attributes) {
  return attributes.adapter.empty() ? attributes.model : attributes.model + "/" + attributes.adapter;
}

}  // namespace

std::size_t WindowOffset(int number, int sidecars, std::size_t ring) {
  if (ring == 0 || sidecars <= 0) return 0;
  return static_cast<std::size_t>(number) * ring / static_cast<std::size_t>(sidecars) % ring;
}

bool LoadBalancer::Usable(const Server& server, const RequestAttributes& attributes, Micros now) const {
  if (now < server.ejected_until) return false;
  const auto lacks = server.lacks_until.find(WeightsKey(attributes));
  return lacks == server.lacks_until.end() || now >= lacks->second;
}

std::vector<const Instance*> LoadBalancer::Homes(const std::vector<const Instance*>& candidates,
                                                 const RequestAttributes& attributes) {
  if (attributes.parts == nullptr || attributes.parts->size() < 2) return {};
  std::string key = WeightsKey(attributes);
  for (std::size_t i = 0; i + 1 < attributes.parts->size(); ++i) key += "," + (*attributes.parts)[i].id;
  const std::uint64_t seed = Hash(0, key);
  std::vector<std::pair<std::uint64_t, const Instance*>> ranked;
  ranked.reserve(candidates.size());
  for (const Instance* instance : candidates) ranked.emplace_back(Hash(seed, instance->id), instance);
  const std::size_t kept = std::min(kHomes, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
  std::vector<const Instance*> homes;
  for (std::size_t i = 0; i < kept; ++i) homes.push_back(ranked[i].second);
  return homes;
}

double LoadBalancer::MsPerToken(const std::string& model) const {
  const auto it = speeds_.find(model);
  return it == speeds_.end() ? kUnknownReadMs : it->second.ms / it->second.tokens;
}

double LoadBalancer::Faded(const Server& server, int told, Micros now) {
  if (server.load_at == 0 || told <= 0) return 0;
  return told * std::exp2(-static_cast<double>(now - server.load_at) / kLoadHalfLife);
}

double LoadBalancer::ReadCost(const Server& server, const Instance& instance,
                              const RequestAttributes& attributes, bool home, Micros now) const {
  const double told = Faded(server, server.load.running - server.in_flight, now);
  double cached = server.cache.CachedTokens(WeightsKey(attributes), *attributes.parts);
  if (home) cached = std::max(cached, kHomeShare * (attributes.tokens - attributes.parts->back().tokens));
  double cost =
      prefill_queue_.WaitMs(instance.id, now) + (attributes.tokens - cached) * MsPerToken(attributes.model);
  cost += kRunningMs * (server.in_flight + told);
  cost += kWaitingMs * Faded(server, server.load.waiting, now);
  if (!Connected(instance)) cost += kNewConnectionMs;
  if (!InOwnZone(instance)) cost += kOtherZoneMs;
  if (now < server.full_until) cost += kFullMs;
  if (server.silent_since > 0 && now - server.silent_since > kSilentFor) cost += kSilentMs;
  return cost;
}

double LoadBalancer::Cost(const Server& server, const Instance& instance, const RequestAttributes& attributes,
                          bool home, Micros now) const {
  if (attributes.parts != nullptr && !attributes.parts->empty())
    return ReadCost(server, instance, attributes, home, now);
  const int others = server.load.running + 2 * server.load.waiting - server.in_flight;
  double cost = server.in_flight + Faded(server, others, now);
  cost *= 8.0 / std::max(1, std::min(instance.capacity, 8));  // a place of a small server weighs more
  if (!Connected(instance)) cost += kNewConnectionRequests;
  if (now < server.full_until) cost += 100;
  if (server.silent_since > 0 && now - server.silent_since > kSilentFor) cost += 1000;
  return cost;
}

const Instance* LoadBalancer::Choose(const std::vector<const Instance*>& candidates,
                                     const Directory& directory, const RequestAttributes& attributes,
                                     Micros now) {
  const std::size_t ring = candidates.size();
  if (ring == 0) return nullptr;
  const std::size_t width = std::min(ring, kWindow);
  const std::size_t offset = WindowOffset(directory.number(), directory.sidecars(), ring);
  const auto at = [&](std::size_t i) { return candidates[(offset + i) % ring]; };
  const auto usable = [&](const Instance& instance) {
    if (std::find(attributes.tried.begin(), attributes.tried.end(), instance.id) != attributes.tried.end())
      return false;
    return Usable(servers_[instance.id], attributes, now);
  };
  const Instance* best = nullptr;
  double least = 0;
  const std::vector<const Instance*> homes = Homes(candidates, attributes);
  const auto weigh = [&](const Instance* instance) {
    const bool home = std::find(homes.begin(), homes.end(), instance) != homes.end();
    const double cost = Cost(servers_[instance->id], *instance, attributes, home, now);
    if (best != nullptr && cost >= least) return;
    best = instance;
    least = cost;
  };
  // Prompts whose parts are kept somewhere in the window go by that; all others by two random draws.
  if (attributes.parts != nullptr && !attributes.parts->empty()) {
    for (std::size_t i = 0; i < width; ++i)
      if (usable(*at(i))) weigh(at(i));
    for (const Instance* instance : homes)
      if (usable(*instance)) weigh(instance);
    if (best != nullptr) return best;
  }
  int found = 0;
  for (int draw = 0; draw < kDraws && found < 2; ++draw) {
    const Instance* instance = at(random_.Below(width));
    if (instance == best || !usable(*instance)) continue;
    ++found;
    weigh(instance);
  }
  if (best != nullptr) return best;
  // Outside the window rather than nowhere, and an ejected server rather than none.
  for (std::size_t i = 0; i < ring; ++i)
    if (usable(*at(i))) weigh(at(i));
  if (best != nullptr) return best;
  for (std::size_t i = 0; i < ring; ++i) {
    const Instance* instance = at(i);
    const bool tried =
        std::find(attributes.tried.begin(), attributes.tried.end(), instance->id) != attributes.tried.end();
    const Server& server = servers_[instance->id];
    if (!tried && server.lacks_until.count(WeightsKey(attributes)) == 0) weigh(instance);
  }
  return best;
}

void LoadBalancer::OnSent(const std::string& id, RequestAttributes& attributes, Micros now) {
  Server& server = servers_[id];
  ++server.in_flight;
  if (server.silent++ == 0) server.silent_since = now;
  attributes.sent_at = now;
  if (attributes.parts == nullptr) return;
  const std::string weights = WeightsKey(attributes);
  attributes.unread_tokens =
      std::max(0.0, attributes.tokens - server.cache.CachedTokens(weights, *attributes.parts));
  attributes.unread_ms = attributes.unread_tokens * MsPerToken(attributes.model);
  attributes.before_ms = prefill_queue_.WaitMs(id, now);
  prefill_queue_.OnSent(id, attributes.unread_ms, now);
  server.cache.Insert(weights, *attributes.parts, kCacheTokens);
  if (!on_news_ || prompts_.size() >= kMostPrompts) return;
  prompts_.push_back({id, weights, ToText(*attributes.parts), std::round(attributes.unread_ms)});
  on_news_(attributes.unread_ms >= kHeavyMs);
}

void LoadBalancer::OnLoad(const std::string& id, const ServerLoad& load, Micros now) {
  Server& server = servers_[id];
  server.load = load;
  server.load_at = now;
}

void LoadBalancer::OnFirstByte(const std::string& id, const RequestAttributes& attributes, bool runs,
                               Micros now) {
  Server& server = servers_[id];
  server.silent = std::max(0, server.silent - 1);
  server.silent_since = server.silent > 0 ? now : 0;
  if (attributes.parts == nullptr || !runs) return;
  prefill_queue_.OnRead(id, attributes.sent_at, now);
  LearnSpeed(attributes, now);
}

void LoadBalancer::LearnSpeed(const RequestAttributes& attributes, Micros now) {
  const double waited_ms = static_cast<double>(now - attributes.sent_at) / 1000;
  if (attributes.unread_tokens < kLeastSampleTokens || waited_ms < 2 * attributes.before_ms) return;
  const double read_ms = waited_ms - attributes.before_ms;
  if (read_ms < kPlausibleShare * attributes.unread_ms) return;
  ReadSpeed& speed = speeds_[attributes.model];
  speed.ms = speed.ms * kSampleFades + read_ms;
  speed.tokens = speed.tokens * kSampleFades + attributes.unread_tokens;
}

void LoadBalancer::OnEnd(const std::string& id, AttemptResult result, const RequestAttributes& attributes,
                         bool answered, Micros now) {
  Server& server = servers_[id];
  if (!answered && server.silent > 0 && --server.silent == 0) server.silent_since = 0;
  server.in_flight = std::max(0, server.in_flight - 1);
  switch (result) {
    case AttemptResult::kServed:
      server.failures = 0;
      server.ejected_until = 0;
      return;
    case AttemptResult::kRefused:
      server.full_until = now + kFullFor;
      return;
    case AttemptResult::kWrongServer:
      server.lacks_until[WeightsKey(attributes)] = now + kLacksFor;
      return;
    case AttemptResult::kUnreachable:
    case AttemptResult::kBroken:
    case AttemptResult::kSilent:
    case AttemptResult::kError: {
      server.cache.Clear();
      const int extra = ++server.failures - (result == AttemptResult::kUnreachable ? 1 : kFailuresToEject);
      if (extra < 0) return;
      const Micros wait = std::min(kEjectMost, kEjectBase << std::min(extra, 5));
      server.ejected_until = now + wait;
      return;
    }
    case AttemptResult::kCancelled:
      return;
  }
}

// ---- What sidecars tell each other ----

LoadReport LoadBalancer::TakeReport() {
  LoadReport report;
  report.prompts = std::exchange(prompts_, {});
  return report;
}

void LoadBalancer::OnReport(const LoadReport& report, Micros now) {
  for (const SentPrompt& prompt : report.prompts) {
    if (!(prompt.read_ms >= 0 && prompt.read_ms <= kMostReadMs)) continue;
    prefill_queue_.OnSent(prompt.server, prompt.read_ms * report_weight_, now);
    servers_[prompt.server].cache.Insert(prompt.weights, ParsePromptParts(prompt.parts), kCacheTokens);
  }
}

void LoadBalancer::Keep(const Directory& directory, Micros now) {
  prefill_queue_.Expire(now);
  std::erase_if(servers_, [&](const auto& entry) {
    return entry.second.in_flight == 0 && directory.Find(entry.first) == nullptr;
  });
}

int LoadBalancer::InFlight(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : it->second.in_flight;
}

}  // namespace violetwing
