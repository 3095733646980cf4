#include "lab/sidecars.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "common/http_client.hpp"
#include "common/random.hpp"

namespace violetwing::lab {
namespace {

constexpr Micros kPollEvery = 20'000;
constexpr int kStrangersAtOnce = 16;  // 500 in one turn took 28 ms under the sanitizers, so about 1 ms
// PROTOCOL, "Figures": SIGKILL comes no earlier than the longest deadline, taken as 3 s where it is longer,
// plus 0.7 s.
constexpr Micros kKillAfter = 3'700'000;

const char* RepeatName(Effect effect) {
  return effect == Effect::kSafe ? "idempotent" : effect == Effect::kKeyed ? "deduplicated" : "at_most_once";
}

const char* GroupName(KeyGroup group) {
  return group == KeyGroup::kZone ? "zone" : group == KeyGroup::kCell ? "cell" : "all";
}

// One GET /ready; `done` is told whether it was answered with 200.
class ReadyCall : public std::enable_shared_from_this<ReadyCall> {
 public:
  ReadyCall(asio::io_context& io, std::function<void(bool)> done)
      : socket_(io), limit_(io), done_(std::move(done)) {}

  void Start(const Tcp::endpoint& at) {
    limit_.expires_after(std::chrono::seconds(1));
    limit_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (!error) self->End(false);
    });
    socket_.async_connect(at, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(false);
      self->Ask();
    });
  }

 private:
  void Ask() {
    asio::async_write(
        socket_, asio::buffer(kRequest), [self = shared_from_this()](ErrorCode error, std::size_t) {
          if (error) return self->End(false);
          http::async_read(self->socket_, self->buffer_, self->answer_, [self](ErrorCode bad, std::size_t) {
            self->End(!bad && self->answer_.result() == http::status::ok);
          });
        });
  }
  void End(bool yes) {
    limit_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    if (done_) std::exchange(done_, {})(yes);
  }

  static constexpr std::string_view kRequest =
      "GET /ready HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n";
  Tcp::socket socket_;
  asio::steady_timer limit_;
  std::function<void(bool)> done_;
  beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
};

}  // namespace

nlohmann::json SettingsOf(const Scenario& scenario, const Plan& plan, int sidecar) {
  using Json = nlohmann::json;
  Json grades = Json::array();
  for (const ClassSpec& kind : scenario.classes)
    grades.push_back({{"name", kind.name},
                      {"aim_us", kind.aim},
                      {"hard_limit_us", kind.deadline},
                      {"importance", kind.worth},
                      {"repeat", RepeatName(kind.effect)},
                      {"group", GroupName(kind.group)},
                      {"late_value", kind.late_value},
                      {"window_us", std::max<Micros>(kind.window, 0)},
                      {"stream", false}});
  double cold_from = 1;
  Micros cold = 0;
  double multiple = 1e3;
  Micros fall = 0;
  Json machines = Json::array();
  for (const MachineSpec& machine : scenario.machines) {
    cold_from = std::min(cold_from, machine.server.cold_from);
    cold = std::max(cold, machine.server.cold);
    multiple = std::min(multiple, machine.server.fall_multiple);
    fall = std::max(fall, machine.server.fall);
    machines.push_back(machine.name);
  }
  const int zone = plan.sidecar_zones[static_cast<std::size_t>(sidecar)];
  return {{"allowed",
           {{"cancel", true},
            {"conn_idle_us", 60'000'000},
            {"cpu_us_per_request", 0.0},
            {"cpu_us_per_s", 100'000},
            {"dial_timeout_us", 250'000},
            {"max_attempts", scenario.max_attempts},
            {"parallel_tries", true},
            {"peers", false},
            {"probes", true},
            {"retry_after", true},
            {"max_retry_after_us", 2'000'000},
            {"streams_per_conn", 1}}},
          {"azs", scenario.fleet.zones},
          {"callers", {{"marks_retry", false}}},
          {"costs",
           {{"connection", 0.06},
            {"cross_zone", 0.02},
            {"handshake", 0.04},
            {"late_fail", 0.08},
            {"probe", 0.01},
            {"waste", 0.2}}},
          {"goal", {{"whole", 0.55}, {"worst_class", 0.35}, {"worst_tenant", 0.0}, {"worst_window", 0.1}}},
          {"grades", std::move(grades)},
          {"host_types", std::move(machines)},
          {"membership_mode", "subscribe"},
          {"my_zone", scenario.fleet.zones[static_cast<std::size_t>(zone)]},
          {"quantum_us", 5000},
          {"rank", sidecar},
          {"siblings", scenario.fleet.sidecars},
          {"rules",
           {{"ask_within_us", kAskWithin},
            {"cold_from", cold_from},
            {"drain_grace_us", scenario.drain_grace},
            {"fall_us", fall},
            {"overload_factor", multiple},
            {"warm_after_us", cold}}},
          {"tenants", Json::array()},
          {"weights", "rough"}};
}

Sidecars::Sidecars(SidecarWorld world) : world_(std::move(world)), children_(world_.io) {
  for (int i = 0; i < world_.scenario.fleet.sidecars; ++i) {
    auto host = std::make_unique<Host>();
    if (world_.scenario.fleet.passed_socket) {
      host->passed = std::make_unique<Tcp::acceptor>(world_.io, Loopback());
      host->address = host->passed->local_endpoint();
    } else {
      host->door = std::make_unique<Door>(world_.io);
      host->address = host->door->address();
    }
    hosts_.push_back(std::move(host));
  }
}

Sidecars::~Sidecars() = default;

std::string Sidecars::Directory(int sidecar) const {
  return world_.directory + "/n" + std::to_string(sidecar);
}

void Sidecars::WriteConfig(int sidecar) {
  const Fleet& fleet = world_.scenario.fleet;
  Host& host = Get(sidecar);
  char seed[20];
  const std::uint64_t drawn =
      Hash(world_.plan.seed, "sidecar " + std::to_string(sidecar) + " start " + std::to_string(host.starts));
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(drawn));
  const std::vector<Tcp::endpoint> discovery = world_.discovery(sidecar);
  nlohmann::ordered_json config = {
      {"name", "n" + std::to_string(sidecar)},
      {"listen", Text(host.address)},
      {"discovery", Text(discovery.front())},
      {"seed", seed},
      {"limits", {{"cores", 1.0}, {"memory_mb", fleet.memory_mb}, {"sockets", fleet.sockets}}},
      {"known", world_.known(sidecar)},
      {"settings", SettingsOf(world_.scenario, world_.plan, sidecar)}};
  for (std::size_t i = 1; i < discovery.size(); ++i)
    config["further_discovery"].push_back(Text(discovery[i]));
  std::ofstream file(Directory(sidecar) + ".json");
  if (!(file << config.dump() << std::flush))
    throw std::runtime_error(Directory(sidecar) + ".json: cannot be written");
}

std::shared_ptr<Sidecars::Process> Sidecars::Start(int sidecar) {
  Host& host = Get(sidecar);
  WriteConfig(sidecar);
  ++host.starts;
  auto process = std::make_shared<Process>();
  process->admin = std::make_unique<Door>(world_.io);
  process->record = world_.records.processes.size();
  ProcessRecord record;
  record.sidecar = sidecar;
  record.started = world_.clock.Now();
  world_.records.processes.push_back(record);
  Child::Start start;
  start.arguments = {world_.program};
  start.environment = {{"EDGE_NAME", "n" + std::to_string(sidecar)},
                       {"EDGE_LISTEN", Text(host.address)},
                       {"EDGE_DISCOVERY", Text(world_.discovery(sidecar).front())},
                       {"EDGE_CONFIG", Directory(sidecar) + ".json"},
                       {"EDGE_ADMIN", Text(process->admin->address())},
                       {"TMPDIR", Directory(sidecar)}};
  if (host.passed != nullptr) {
    start.passed_descriptor = host.passed->native_handle();
    start.environment["EDGE_PASSED_SOCKET"] = std::to_string(start.passed_descriptor);
  }
  Child::Events events;
  events.on_line = [this, sidecar, raw = process.get()](const std::string& line) {
    if (line.find("Sanitizer") != std::string::npos || line.find("runtime error:") != std::string::npos)
      raw->reported = true;
    world_.journal.Note("sidecar", "said", {{"sidecar", sidecar}, {"line", line}});
  };
  events.on_end = [this, process](const std::string& how, bool cleanly) { OnEnd(process, how, cleanly); };
  process->child = children_.Start(start, std::move(events));
  process->child->LimitDescriptors(world_.scenario.fleet.sockets);
  host.processes.push_back(process);
  world_.journal.Note("sidecar", "started", {{"sidecar", sidecar}, {"pid", process->child->pid()}});
  return process;
}

// From nothing, as the platform starts one: its directory is empty.
void Sidecars::StartAnew(int sidecar) {
  std::filesystem::remove_all(Directory(sidecar));
  std::filesystem::create_directories(Directory(sidecar));
  const auto process = Start(sidecar);
  // With a passed socket, clients' address answers for whichever process takes the call.
  const Tcp::endpoint at = Get(sidecar).passed != nullptr ? process->admin->address() : Get(sidecar).address;
  Poll(sidecar, process, at, {});
}

// The platform starts a sidecar again when it has ended, not beside one that still answers what it has.
void Sidecars::StartOnceEnded(int sidecar) {
  if (!Get(sidecar).processes.back()->child->running()) return StartAnew(sidecar);
  auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(kPollEvery));
  timer->async_wait([this, timer, sidecar](ErrorCode error) {
    if (!error) StartOnceEnded(sidecar);
  });
}

void Sidecars::StartAll(std::function<void()> on_all_ready) {
  for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) StartAnew(i);
  AwaitReady(world_.clock.Now() + world_.scenario.fleet.ready_within, std::move(on_all_ready));
}

void Sidecars::AwaitReady(Micros until, std::function<void()> done) {
  const bool all = ready() == static_cast<int>(hosts_.size());
  if (all || world_.clock.Now() >= until) {
    world_.records.all_ready = all;
    return done();
  }
  auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(kPollEvery));
  timer->async_wait([this, timer, until, done = std::move(done)](ErrorCode error) {
    if (!error) AwaitReady(until, done);
  });
}

int Sidecars::ready() const {
  return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& host) {
    return !host->processes.empty() &&
           world_.records.processes[host->processes.back()->record].ready != kNever;
  }));
}

void Sidecars::Poll(int sidecar, const std::shared_ptr<Process>& process, const Tcp::endpoint& at,
                    const std::function<void()>& on_ready) {
  if (!process->child->running()) return;
  std::make_shared<ReadyCall>(world_.io, [this, sidecar, process, at, on_ready](bool yes) {
    if (yes) {
      Record(*process).ready = world_.clock.Now();
      world_.journal.Note("sidecar", "ready", {{"sidecar", sidecar}, {"pid", process->child->pid()}});
      if (on_ready) on_ready();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(kPollEvery));
    timer->async_wait([this, timer, sidecar, process, at, on_ready](ErrorCode error) {
      if (!error) Poll(sidecar, process, at, on_ready);
    });
  })->Start(at);
}

void Sidecars::Kill(int sidecar) {
  for (const auto& process : Get(sidecar).processes) {
    if (!process->child->running()) continue;
    Record(*process).killed = world_.clock.Now();
    process->child->Signal(SIGKILL);
  }
}

void Sidecars::Terminate(const Process& process) {
  if (!process.child->running()) return;
  ProcessRecord& record = Record(process);
  if (record.told_to_end == kNever) record.told_to_end = world_.clock.Now();
  process.child->Signal(SIGTERM);
}

// As docs/operations.md has it: the new one beside the old, SIGTERM to the old once the new one is ready.
void Sidecars::Upgrade(int sidecar) {
  if (Get(sidecar).processes.empty()) return;
  const auto old = Get(sidecar).processes.back();
  const auto process = Start(sidecar);
  Poll(sidecar, process, process->admin->address(), [this, old] { Terminate(*old); });
}

// As `violetwing zone` does, by the operators' address.
void Sidecars::OrderZone(int sidecar, const Fault& spec) {
  HttpExchange::Call call;
  call.to = Get(sidecar).processes.back()->admin->address();
  call.method = "POST";
  call.target = spec.act == Act::kDrainZone ? "/zones/drain" : "/zones/return";
  call.body = nlohmann::json({{"zone", spec.zone}, {"over_s", spec.value}}).dump();
  HttpExchange::Events events;
  events.on_end = [this, sidecar](int status, const std::string& why) {
    world_.journal.Note("sidecar", "ordered", {{"sidecar", sidecar}, {"status", status}, {"why", why}});
  };
  HttpExchange::Start(world_.io, std::move(call), std::move(events));
}

// A few in a turn of the loop: hundreds at once would make the lab late with all else.
void Sidecars::ChangeStrangers(int sidecar) {
  Host& host = Get(sidecar);
  for (int i = 0; i < kStrangersAtOnce && host.strangers.size() != host.strangers_wanted; ++i) {
    if (host.strangers.size() > host.strangers_wanted) {
      host.strangers.pop_back();
      continue;
    }
    Tcp::socket stranger(world_.io, Tcp::v4());
    ErrorCode ignored;
    stranger.non_blocking(true, ignored);
    stranger.connect(host.address, ignored);
    host.strangers.push_back(std::move(stranger));
  }
  if (host.strangers.size() == host.strangers_wanted || std::exchange(host.strangers_change, true)) return;
  asio::post(world_.io, [this, sidecar] {
    Get(sidecar).strangers_change = false;
    ChangeStrangers(sidecar);
  });
}

void Sidecars::OnEnd(const std::shared_ptr<Process>& process, const std::string& how, bool cleanly) {
  ProcessRecord& record = Record(*process);
  record.ended = world_.clock.Now();
  record.how = how;
  const bool ordered = record.killed != kNever || (record.told_to_end != kNever && cleanly);
  record.crashed = process->reported || !ordered;
  world_.journal.Note("sidecar", record.crashed ? "crashed" : "ended",
                      {{"sidecar", record.sidecar}, {"how", how}});
  if (!on_end_) return;
  for (const auto& host : hosts_)
    for (const auto& other : host->processes)
      if (Record(*other).ended == kNever) return;
  std::exchange(on_end_, {})();
}

void Sidecars::Apply(int fault, bool begin) {
  const Fault& spec = world_.scenario.faults[static_cast<std::size_t>(fault)];
  for (const int sidecar : world_.plan.faults[static_cast<std::size_t>(fault)].on) {
    const auto newest = Get(sidecar).processes.back();
    switch (spec.act) {
      case Act::kKill:
        begin ? Kill(sidecar) : StartAnew(sidecar);
        break;
      case Act::kTerminate:
        begin ? Terminate(*newest) : StartOnceEnded(sidecar);
        break;
      case Act::kFreeze:
        newest->child->Signal(begin ? SIGSTOP : SIGCONT);
        break;
      case Act::kUpgrade:
        Upgrade(sidecar);
        break;
      case Act::kDrainZone:
      case Act::kReturnZone:
        OrderZone(sidecar, spec);
        break;
      case Act::kDescriptors:
        newest->child->LimitDescriptors(begin ? static_cast<int>(spec.value) : world_.scenario.fleet.sockets);
        break;
      case Act::kStrangers:
        Get(sidecar).strangers_wanted = begin ? static_cast<std::size_t>(spec.value) : 0;
        ChangeStrangers(sidecar);
        break;
      default:
        break;
    }
  }
}

void Sidecars::Moved() {
  for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
    WriteConfig(i);
    for (const auto& process : Get(i).processes) process->child->Signal(SIGHUP);
  }
}

void Sidecars::Sample() {
  for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
    UsageRecord record;
    record.at = world_.clock.Now();
    record.sidecar = i;
    for (const auto& process : Get(i).processes) {
      if (!process->child->running()) continue;
      const Usage usage = UsageOf(process->child->pid());
      record.cpu_s += usage.cpu_s;
      record.memory_mb += usage.memory_mb;
      record.descriptors += usage.descriptors;
    }
    world_.records.usage.push_back(record);
  }
}

void Sidecars::EndAll(std::function<void()> on_end) {
  bool any = false;
  for (const auto& host : hosts_)
    for (const auto& process : host->processes) {
      if (Record(*process).ended != kNever) continue;
      any = true;
      process->child->Signal(SIGCONT);
      Terminate(*process);
    }
  if (!any) return on_end();
  on_end_ = std::move(on_end);
  auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(kKillAfter));
  timer->async_wait([this, timer](ErrorCode error) {
    if (error || !on_end_) return;
    for (const auto& host : hosts_)
      for (const auto& process : host->processes) process->child->Signal(SIGKILL);  // counts as a crash
  });
}

}  // namespace violetwing::lab
