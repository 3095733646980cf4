#include "lab/servers.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace violetwing::lab {
namespace {

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Micros LongestWindow(const Scenario& scenario) {
  Micros window = 0;
  for (const ClassSpec& kind : scenario.classes) window = std::max(window, kind.window);
  return window;
}

}  // namespace

Servers::Servers(const ServerWorld& world, Journal& journal,
                 const std::function<void(int, Door::State)>& on_door)
    : world_(world), journal_(journal) {
  // A little longer than the rule's window, as repeats take time to come.
  const Micros window = LongestWindow(world.scenario) + 500'000;
  std::vector<std::shared_ptr<KeyMemory>> pods;
  pods.reserve(static_cast<std::size_t>(world.scenario.fleet.cells));
  for (int i = 0; i < world.scenario.fleet.cells; ++i) pods.push_back(std::make_shared<KeyMemory>(window));
  for (std::size_t i = 0; i < world.plan.servers.size(); ++i) {
    const auto number = static_cast<int>(i);
    Server server;
    server.shell = std::make_unique<ServerShell>(
        world, number, pods[static_cast<std::size_t>(world.plan.servers[i].cell)],
        [on_door, number](Door::State state) { on_door(number, state); });
    server.truth = {world.plan.servers[i].id, number, Lifecycle::kUp, 0};
    servers_.push_back(std::move(server));
  }
}

void Servers::StartAll() {
  for (Server& server : servers_) server.shell->Start(server.truth.id, /*cold=*/false);
}

void Servers::Follow(DiscoveryShell& discovery) {
  discovery_ = &discovery;
  for (Server& server : servers_) {
    server.told = server.truth;
    discovery.Put(server.told);
  }
}

void Servers::SetBeside(Beside& beside) {
  beside_ = &beside;
  for (const Server& server : servers_) beside.Begun(server.truth);
}

void Servers::After(Micros wait, std::function<void()> act) {
  auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(wait));
  timer->async_wait([timer, act = std::move(act)](ErrorCode error) {
    if (!error) act();
  });
}

void Servers::Notice(int number, Micros wait) {
  After(wait + late_, [this, number] {
    Server& server = Get(number);
    const Entry& truth = server.truth;
    if (server.told.id != truth.id && server.told.lifecycle != Lifecycle::kRemoved) {
      server.told.lifecycle = Lifecycle::kRemoved;
      discovery_->Put(server.told);
    }
    if (server.told.id == truth.id && server.told.lifecycle == truth.lifecycle &&
        server.told.started_ms == truth.started_ms)
      return;
    server.told = truth;
    discovery_->Put(truth);
  });
}

void Servers::Start(int number, bool anew) {
  Server& server = Get(number);
  if (anew) server.truth.id = SuccessorId(world_.plan, number, ++server.successors);
  server.truth.lifecycle = Lifecycle::kUp;
  server.truth.started_ms = UnixMs();
  server.shell->Start(server.truth.id, /*cold=*/true);
  journal_.Note("server", "started", {{"server", server.truth.id}, {"cold", true}});
  if (beside_ != nullptr) beside_->Begun(server.truth);
  Notice(number, world_.scenario.discovery.notice);
}

void Servers::End(int number, Way way) {
  Server& server = Get(number);
  server.truth.lifecycle = Lifecycle::kRemoved;
  const bool silent = way == Way::kSilent;
  if (silent) {
    server.shell->Vanish();
  } else {
    server.shell->Crash();
  }
  journal_.Note("server", silent ? "vanished" : "ended", {{"server", server.truth.id}});
  if (beside_ != nullptr) way == Way::kInOrder ? beside_->Leaves(server.truth) : beside_->Lost(server.truth);
  Notice(number, silent ? world_.scenario.discovery.silent_notice : world_.scenario.discovery.notice);
}

void Servers::Drain(int number, bool draining) {
  Server& server = Get(number);
  if (!server.shell->up()) return;
  server.truth.lifecycle = draining ? Lifecycle::kDraining : Lifecycle::kUp;
  server.shell->Drain(draining);
  journal_.Note("server", draining ? "drains" : "drains no more", {{"server", server.truth.id}});
  if (beside_ != nullptr) beside_->Drains(server.truth, draining);
  Notice(number, world_.scenario.discovery.notice);
}

void Servers::Replace(const std::vector<int>& numbers, std::size_t from, int fault,
                      std::function<void()> done) {
  if (from >= numbers.size()) return done();
  const Fault& spec = world_.scenario.faults[static_cast<std::size_t>(fault)];
  const auto batch = static_cast<std::size_t>(std::ceil(spec.value * static_cast<double>(servers_.size())));
  const std::size_t to = std::min(numbers.size(), from + batch);
  for (std::size_t i = from; i < to; ++i) Drain(numbers[i], true);
  After(spec.drain, [this, numbers, from, to, fault, &spec, done = std::move(done)]() mutable {
    for (std::size_t i = from; i < to; ++i) End(numbers[i], Way::kInOrder);
    After(spec.down, [this, numbers, from, to, fault, done = std::move(done)]() mutable {
      for (std::size_t i = from; i < to; ++i) Start(numbers[i], /*anew=*/true);
      Replace(numbers, to, fault, std::move(done));
    });
  });
}

void Servers::Apply(int fault, bool begin, std::function<void()> done) {
  const Fault& spec = world_.scenario.faults[static_cast<std::size_t>(fault)];
  const std::vector<int>& numbers = world_.plan.faults[static_cast<std::size_t>(fault)].on;
  if (spec.act == Act::kRoll) return Replace(numbers, 0, fault, std::move(done));
  for (const int number : numbers) {
    ServerShell& shell = *Get(number).shell;
    switch (spec.act) {
      case Act::kCrash:
      case Act::kVanish:
        begin ? End(number, spec.act == Act::kVanish ? Way::kSilent : Way::kCrash)
              : Start(number, /*anew=*/false);
        break;
      case Act::kDrain:
        Drain(number, begin);
        break;
      case Act::kRemove:
        Drain(number, true);
        After(spec.drain, [this, number] { End(number, Way::kInOrder); });
        break;
      case Act::kSlow:
        shell.Slow(begin ? spec.value : 1);
        break;
      case Act::kErrors:
        shell.Errors(begin ? spec.value : 0);
        break;
      default:
        break;
    }
  }
  if (spec.act == Act::kRemove) After(spec.drain, std::move(done));
}

}  // namespace violetwing::lab
