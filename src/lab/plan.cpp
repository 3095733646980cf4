#include "lab/plan.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numbers>
#include <numeric>

#include "common/random.hpp"

namespace violetwing::lab {
namespace {

std::string Hex(std::uint64_t value, int digits) {
  char text[24];
  std::snprintf(text, sizeof text, "%0*llx", digits, static_cast<unsigned long long>(value));
  return text;
}

std::string ServerId(std::uint64_t seed, const std::string& name) {
  return "s-" + Hex(Hash(seed, name) & 0xffffffffU, 8);
}

template <typename T>
int Pick(Random& random, const std::vector<T>& items) {
  double sum = 0;
  for (const T& item : items) sum += item.share;
  double left = random.Uniform() * sum;
  for (std::size_t i = 0; i < items.size(); ++i)
    if ((left -= items[i].share) < 0) return static_cast<int>(i);
  return static_cast<int>(items.size()) - 1;
}

std::vector<ServerPlan> DrawServers(const Scenario& scenario, std::uint64_t seed) {
  const Fleet& fleet = scenario.fleet;
  double sum = 0;
  for (const MachineSpec& machine : scenario.machines) sum += machine.share;
  std::vector<ServerPlan> servers;
  const auto zones = static_cast<int>(fleet.zones.size());
  for (int i = 0; i < fleet.servers; ++i) {
    ServerPlan server;
    server.id = ServerId(seed, "server-" + std::to_string(i));
    server.zone = i % zones;
    // Machines in their shares within each zone, so that no draw makes one zone weaker than the others.
    const int row = i / zones;
    const int rows = (fleet.servers + zones - 1) / zones;
    const double place = (row + 0.5) / rows * sum;
    double passed = 0;
    for (std::size_t m = 0; m < scenario.machines.size(); ++m) {
      server.machine = static_cast<int>(m);
      if ((passed += scenario.machines[m].share) > place) break;
    }
    server.cell = i * fleet.cells / fleet.servers;
    servers.push_back(std::move(server));
  }
  return servers;
}

double Rate(const Scenario& scenario, const std::vector<ServerPlan>& servers) {
  if (scenario.load.requests_per_s > 0) return scenario.load.requests_per_s;
  double capacity = 0;
  for (const ServerPlan& server : servers) {
    const ServerSpec& spec = scenario.machines[static_cast<std::size_t>(server.machine)].server;
    capacity += spec.cores * spec.speed;
  }
  double shares = 0;
  double work = 0;
  for (const ClassSpec& kind : scenario.classes) {
    shares += kind.share;
    work += kind.share * kind.work_us / 1e6;
  }
  return scenario.load.share * capacity * shares / work;
}

int PickSidecar(Random& random, const Scenario& scenario) {
  const auto& shares = scenario.load.sidecar_shares;
  if (shares.empty())
    return static_cast<int>(random.Below(static_cast<std::uint64_t>(scenario.fleet.sidecars)));
  double left = random.Uniform() * std::accumulate(shares.begin(), shares.end(), 0.0);
  for (std::size_t i = 0; i < shares.size(); ++i)
    if ((left -= shares[i]) < 0) return static_cast<int>(i);
  return static_cast<int>(shares.size()) - 1;
}

std::vector<Arrival> DrawArrivals(const Scenario& scenario, const Plan& plan) {
  Random times(plan.seed, "arrivals");
  Random draws(plan.seed, "requests");
  const double rate = Rate(scenario, plan.servers);
  const double most = rate * (1 + scenario.load.swing);
  std::vector<Arrival> arrivals;
  double at = 0;
  for (;;) {
    // Thinning (Lewis and Shedler): draw at the highest rate, keep as many as the rate of that moment wants.
    at += times.Exponential(1e6 / most);
    if (at >= static_cast<double>(scenario.length)) return arrivals;
    const double phase = 2 * std::numbers::pi * at / static_cast<double>(scenario.length);
    if (times.Uniform() * most > rate * (1 + scenario.load.swing * std::sin(phase))) continue;
    Arrival one;
    one.at = static_cast<Micros>(at);
    one.sidecar = PickSidecar(draws, scenario);
    one.kind = Pick(draws, scenario.classes);
    const ClassSpec& kind = scenario.classes[static_cast<std::size_t>(one.kind)];
    one.work_us = draws.LogNormal(kind.work_us, kind.cv);
    const std::uint64_t key = draws.Next();
    if (kind.effect == Effect::kKeyed) one.key = Hex(key, 16) + Hex(Hash(key, "key"), 16);
    one.honours = draws.Uniform() < scenario.clients.honour;
    one.hangs_up = draws.Uniform() < scenario.clients.hang_up;
    const double leaving = draws.Uniform(0.2, 1);
    if (draws.Uniform() < scenario.clients.impatient)
      one.leaves = static_cast<Micros>(leaving * static_cast<double>(kind.aim));
    arrivals.push_back(std::move(one));
  }
}

std::vector<int> Select(const Selector& selector, const Plan& plan, int registries, Random random) {
  const bool servers = selector.party == Party::kServer;
  std::vector<int> out;
  if (selector.party == Party::kDiscovery) return out;
  if (!selector.numbers.empty()) return selector.numbers;
  const std::size_t count = servers                              ? plan.servers.size()
                            : selector.party == Party::kRegistry ? static_cast<std::size_t>(registries)
                                                                 : plan.sidecar_zones.size();
  out.resize(count);
  std::iota(out.begin(), out.end(), 0);
  if (selector.share <= 0) return out;
  for (std::size_t i = count; i > 1; --i) std::swap(out[i - 1], out[random.Below(i)]);
  out.resize(static_cast<std::size_t>(std::ceil(selector.share * static_cast<double>(count))));
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<int> SelectIn(const Selector& selector, const Scenario& scenario, const Plan& plan,
                          Random random) {
  std::vector<int> out = Select(selector, plan, scenario.registry.count, random);
  if (selector.zone.empty()) return out;
  const auto& zones = scenario.fleet.zones;
  const auto zone = static_cast<int>(std::find(zones.begin(), zones.end(), selector.zone) - zones.begin());
  std::erase_if(out, [&](int i) {
    const auto at = static_cast<std::size_t>(i);
    return (selector.party == Party::kServer ? plan.servers[at].zone : plan.sidecar_zones[at]) != zone;
  });
  return out;
}

}  // namespace

Plan Draw(const Scenario& scenario, std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.servers = DrawServers(scenario, seed);
  const auto zones = static_cast<int>(scenario.fleet.zones.size());
  for (int i = 0; i < scenario.fleet.sidecars; ++i) plan.sidecar_zones.push_back(i % zones);
  plan.arrivals = DrawArrivals(scenario, plan);
  for (const Fault& fault : scenario.faults) {
    FaultPlan one;
    one.on = SelectIn(fault.on, scenario, plan, Random(seed, "on " + fault.name));
    if (!fault.to.text.empty()) one.to = SelectIn(fault.to, scenario, plan, Random(seed, "to " + fault.name));
    plan.faults.push_back(std::move(one));
  }
  return plan;
}

std::string TryId(std::size_t arrival, int attempt) {
  return Hex(arrival, 12) + Hex(static_cast<std::uint64_t>(attempt), 4);
}

TryOf ParseTryId(const std::string& id) {
  TryOf out;
  if (id.size() != 16) return out;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number, 16);
  if (error != std::errc() || end != id.data() + id.size()) return out;
  out.arrival = number >> 16U;
  out.attempt = static_cast<int>(number & 0xffffU);
  return out;
}

std::string SuccessorId(const Plan& plan, int server, int nth) {
  return ServerId(plan.seed, "server-" + std::to_string(server) + "-" + std::to_string(nth));
}

double AttemptWork(const Scenario& scenario, const Plan& plan, const std::string& id, int server) {
  const TryOf which = ParseTryId(id);
  if (which.arrival >= plan.arrivals.size()) return 0;
  const Arrival& arrival = plan.arrivals[which.arrival];
  const ClassSpec& kind = scenario.classes[static_cast<std::size_t>(arrival.kind)];
  Random random(plan.seed, id + " work " + std::to_string(server));
  return random.LogNormal(arrival.work_us, kind.attempt_noise);
}

bool AttemptFails(const Plan& plan, const std::string& id, int server, double rate) {
  return Random(plan.seed, id + " error " + std::to_string(server)).Uniform() < rate;
}

std::string PlanText(const Scenario& scenario, const Plan& plan) {
  std::string out;
  const auto line = [&](const nlohmann::ordered_json& json) { out += json.dump() + "\n"; };
  line({{"scenario", scenario.name}, {"seed", plan.seed}, {"length_us", scenario.length}});
  for (const ServerPlan& server : plan.servers)
    line({{"server", server.id}, {"zone", server.zone}, {"machine", server.machine}, {"cell", server.cell}});
  for (std::size_t i = 0; i < plan.faults.size(); ++i) {
    const Fault& fault = scenario.faults[i];
    line({{"fault", fault.name},
          {"do", fault.act_text},
          {"at_us", fault.at ? nlohmann::ordered_json(*fault.at) : nlohmann::ordered_json()},
          {"at_request",
           fault.at_request ? nlohmann::ordered_json(*fault.at_request) : nlohmann::ordered_json()},
          {"after", fault.after},
          {"wait_us", fault.wait},
          {"value", fault.value},
          {"on", plan.faults[i].on},
          {"to", plan.faults[i].to}});
  }
  for (std::size_t i = 0; i < plan.arrivals.size(); ++i) {
    const Arrival& one = plan.arrivals[i];
    std::vector<double> work;
    work.reserve(plan.servers.size());
    for (int server = 0; server < scenario.fleet.servers; ++server)
      work.push_back(AttemptWork(scenario, plan, TryId(i, 0), server));
    line({{"id", TryId(i, 0)},
          {"at_us", one.at},
          {"sidecar", one.sidecar},
          {"class", one.kind},
          {"work_us", work},
          {"key", one.key},
          {"honours", one.honours},
          {"hangs_up", one.hangs_up},
          {"leaves_us", one.leaves}});
  }
  return out;
}

}  // namespace violetwing::lab
