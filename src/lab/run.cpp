#include "lab/run.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <unordered_set>
#include <vector>

#include "lab/clients/shell.hpp"
#include "lab/links.hpp"
#include "lab/merged_log.hpp"
#include "lab/registries.hpp"
#include "lab/servers.hpp"
#include "lab/sidecars.hpp"
#include "lab/timeline.hpp"

namespace violetwing::lab {
namespace {

constexpr Micros kBeforeLoad = 200'000;  // from readiness to the first planned moment
constexpr Micros kSampleEvery = 500'000;
constexpr Micros kLookEvery = 20'000;
constexpr Micros kKeepMoved =
    1'500'000;  // TERMS, "Reloads": the old address closes its connections after 1.5 s

// A directory that is gone when the run is.
class WorkDirectory {
 public:
  explicit WorkDirectory(const std::string& kept) : path_(kept), temporary_(kept.empty()) {
    if (temporary_) {
      path_ = (std::filesystem::temp_directory_path() / "violetwing-XXXXXX").string();
      if (::mkdtemp(path_.data()) == nullptr) throw std::system_error(errno, std::generic_category(), path_);
    } else {
      std::filesystem::create_directories(path_);
    }
  }
  ~WorkDirectory() {
    std::error_code ignored;
    if (temporary_) std::filesystem::remove_all(path_, ignored);
  }
  WorkDirectory(const WorkDirectory&) = delete;
  WorkDirectory& operator=(const WorkDirectory&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool temporary_;
};

// A lab holds a descriptor for each end of each connection.
void RaiseDescriptors() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void Shift(Micros& time, Micros by) {
  if (time != kNever) time -= by;
}

// The records tell times from the first planned moment on.
void ShiftAll(Records& records, Micros by) {
  for (TryRecord& one : records.tries)
    for (Micros* const time : {&one.begun, &one.sent, &one.ended, &one.gives_up, &one.answered_late})
      Shift(*time, by);
  for (AttemptRecord& one : records.attempts)
    for (Micros* const time : {&one.sent, &one.arrived, &one.ended}) Shift(*time, by);
  for (LifeRecord& one : records.lives)
    for (Micros* const time : {&one.started, &one.ended}) Shift(*time, by);
  for (ToldRecord& one : records.told) Shift(one.at, by);
  for (ChangeRecord& one : records.changes) Shift(one.at, by);
  for (ProcessRecord& one : records.processes)
    for (Micros* const time : {&one.started, &one.ready, &one.killed, &one.told_to_end, &one.ended})
      Shift(*time, by);
  for (UsageRecord& one : records.usage) Shift(one.at, by);
  for (FaultRecord& one : records.faults)
    for (Micros* const time : {&one.begun, &one.ended}) Shift(*time, by);
}

class Lab {
 public:
  Lab(const Scenario& scenario, const Plan& plan, const RunOptions& options)
      : scenario_(scenario),
        plan_(plan),
        options_(options),
        directory_(options.keep),
        journal_(clock_, options.keep.empty()
                             ? Log()
                             : Log(directory_.path() + "/lab.jsonl", Log::ExistingFile::kTruncate)),
        links_(io_, clock_, scenario, plan, options.scripted),
        servers_({Given(), links_.send_times()}, journal_,
                 [this](int server, Door::State state) { links_.FollowFar(server, state); }),
        discovery_(
            io_, clock_, scenario, records_,
            [this](int sidecar, const Entry& entry) { return Written(sidecar, entry); },
            [this](Door::State state) { links_.FollowFar(Links::kDiscovery, state); }),
        sidecars_({Given(), journal_, options.sidecar, directory_.path(),
                   [this](int sidecar) { return discovery_.Text(sidecar, discovery_.core().Whole()); },
                   [this](int sidecar) {
                     if (registries_ != nullptr) return registries_->AddressesOf(sidecar);
                     return std::vector{
                         links_.Address(sidecar, Links::kDiscovery, discovery_.address(sidecar))};
                   }}),
        timeline_(io_, clock_, scenario, records_, journal_,
                  [this](int fault, bool begin, std::function<void()> done) {
                    Apply(fault, begin, std::move(done));
                  }),
        arrivals_(io_),
        samples_(io_),
        looks_(io_),
        end_signals_(io_, [this] { Interrupt(); }) {}

  Records Run() {
    if (scenario_.registry.count > 0 && !options_.scripted)
      registries_ = std::make_unique<Registries>(
          RegistryWorld{Given(), journal_, links_, options_.program, directory_.path(),
                        [this](int server) { return Text(servers_.at(server).address()); }});
    servers_.StartAll();
    servers_.Follow(discovery_);
    discovery_.Up(scenario_.discovery.up);
    for (int i = 0; i < scenario_.fleet.sidecars; ++i)
      applications_.push_back(std::make_unique<Application>(
          ClientWorld{Given(), [this](const std::string& id) { return Attempted(id); },
                      [this](std::size_t arrival) { timeline_.OnSent(arrival); }},
          links_.Address(i, Links::kClients, sidecars_.address(i))));
    // A sidecar that is down is seen when a connection through the link is refused at its far end.
    links_.FollowFar(Links::kClients, Door::State::kOpen);
    if (registries_ == nullptr) {
      StartSidecars();
    } else {
      Say("starting " + std::to_string(scenario_.registry.count) + " registries");
      registries_->Start([this] {
        servers_.SetBeside(*registries_);
        registries_->AwaitListed(plan_.servers.size(), [this] { StartSidecars(); });
      });
    }
    io_.run();
    if (interrupted_) throw Interrupted();
    ShiftAll(records_, clock_.load_begin());
    if (!options_.keep.empty())
      WriteMergedLog(directory_.path() + "/log.jsonl", journal_, plan_, records_, clock_.load_begin());
    return std::move(records_);
  }

 private:
  World Given() { return {io_, clock_, scenario_, plan_, records_}; }

  nlohmann::ordered_json Written(int sidecar, const Entry& entry) {
    static const char* const kNames[] = {"up", "draining", "removed"};
    const ServerPlan& server = plan_.servers[static_cast<std::size_t>(entry.server)];
    const MachineSpec& machine = scenario_.machines[static_cast<std::size_t>(server.machine)];
    return {{"instanceId", entry.id},
            {"hostPort", Text(links_.Address(sidecar, entry.server, servers_.at(entry.server).address()))},
            {"zone", scenario_.fleet.zones[static_cast<std::size_t>(server.zone)]},
            {"machineType", machine.name},
            {"cell", server.cell},
            {"lifecycle", kNames[static_cast<int>(entry.lifecycle)]},
            {"weight", machine.server.cores * machine.server.speed / 4},
            {"startedAtMs", entry.started_ms}};
  }

  // Only the newest records can be of an id whose try is under way; ids are looked up in order.
  bool Attempted(const std::string& id) {
    for (; attempts_seen_ < records_.attempts.size(); ++attempts_seen_)
      attempted_.insert(records_.attempts[attempts_seen_].id);
    return attempted_.count(id) > 0;
  }

  void StartSidecars() {
    Say("starting " + std::to_string(scenario_.fleet.sidecars) + " sidecars");
    sidecars_.StartAll([this] { BeginLoad(); });
  }

  void BeginLoad() {
    clock_.BeginLoad(clock_.Now() + kBeforeLoad);
    journal_.Note("lab", "load begins", {{"ready", sidecars_.ready()}, {"seed", plan_.seed}});
    timeline_.Start();
    NextArrival();
    Sample();
    Look();
  }

  void NextArrival() {
    if (next_ >= plan_.arrivals.size()) return;
    arrivals_.expires_at(clock_.At(clock_.load_begin() + plan_.arrivals[next_].at));
    arrivals_.async_wait([this](ErrorCode error) {
      if (error) return;
      const Micros now = clock_.Now() - clock_.load_begin();
      for (; next_ < plan_.arrivals.size() && plan_.arrivals[next_].at <= now; ++next_) {
        // Each by the clock of its own turn: those before it in this round took time too.
        records_.lateness.push_back(clock_.Now() - clock_.load_begin() - plan_.arrivals[next_].at);
        applications_[static_cast<std::size_t>(plan_.arrivals[next_].sidecar)]->Begin(next_);
      }
      NextArrival();
    });
  }

  void Sample() {
    sidecars_.Sample();
    samples_.expires_after(std::chrono::microseconds(kSampleEvery));
    samples_.async_wait([this](ErrorCode error) {
      if (!error) Sample();
    });
  }

  // Until the last arrival's time is over and nothing is open.
  void Look() {
    const Micros now = clock_.Now() - clock_.load_begin();
    std::size_t open = 0;
    for (const auto& application : applications_) open += application->open();
    Say(Progress(now, open));
    if (now >= scenario_.length && open == 0 && next_ >= plan_.arrivals.size()) return Finish();
    looks_.expires_after(std::chrono::microseconds(kLookEvery));
    looks_.async_wait([this](ErrorCode error) {
      if (!error) Look();
    });
  }

  std::string Progress(Micros now, std::size_t open) const {
    char text[120];
    std::snprintf(text, sizeof text, "%5.1f of %.0f s, %zu requests sent, %zu open",
                  static_cast<double>(std::max<Micros>(now, 0)) / 1e6,
                  static_cast<double>(scenario_.length) / 1e6, next_, open);
    std::string out = text;
    for (const FaultRecord& fault : records_.faults)
      if (fault.begun != kNever && fault.ended == kNever)
        out += ", " + scenario_.faults[static_cast<std::size_t>(fault.fault)].name;
    return out;
  }

  void Say(const std::string& line) {
    const auto now = Clock::Steady::now();
    if (!options_.progress || now - said_ < std::chrono::milliseconds(250)) return;
    said_ = now;
    options_.progress(line);
  }

  void Finish() {
    timeline_.Stop();
    samples_.cancel();
    journal_.Note("lab", "load ended");
    if (registries_ == nullptr) return sidecars_.EndAll([this] { io_.stop(); });
    registries_->Finish([this] { sidecars_.EndAll([this] { io_.stop(); }); });
  }

  void Interrupt() {
    interrupted_ = true;
    io_.stop();
  }

  void Apply(int fault, bool begin, std::function<void()> done) {
    const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault)];
    if (!spec.to.text.empty()) {
      links_.Apply(fault, begin);
      if (spec.act == Act::kReset) done();
      return;
    }
    if (spec.on.party == Party::kServer) return servers_.Apply(fault, begin, std::move(done));
    if (spec.on.party == Party::kSidecar) {
      sidecars_.Apply(fault, begin);
      if (spec.act == Act::kUpgrade || spec.act == Act::kDrainZone || spec.act == Act::kReturnZone) done();
      return;
    }
    if (spec.on.party == Party::kRegistry) {
      if (registries_ != nullptr) return registries_->Apply(fault, begin, done);
      return ApplyScripted(fault, begin, done);
    }
    ApplyToDiscovery(spec, begin);
    if (!spec.lasts && (spec.act == Act::kLower || spec.act == Act::kMove)) done();
  }

  // What a fault of registries is to the one scripted discovery in their place: the primary's are its own.
  void ApplyScripted(int fault, bool begin, const std::function<void()>& done) {
    const Fault& spec = scenario_.faults[static_cast<std::size_t>(fault)];
    const std::vector<int>& on = plan_.faults[static_cast<std::size_t>(fault)].on;
    if (spec.act == Act::kPromote) return done();
    if (std::find(on.begin(), on.end(), 0) == on.end()) return;
    spec.act == Act::kFreeze ? discovery_.Stale(begin) : discovery_.Up(!begin);
  }

  void ApplyToDiscovery(const Fault& spec, bool begin) {
    switch (spec.act) {
      case Act::kDown:
        return discovery_.Up(!begin);
      case Act::kOverbooked:
        return discovery_.Overbooked(begin);
      case Act::kStale:
        return discovery_.Stale(begin);
      case Act::kLate:
        return servers_.Late(begin ? static_cast<Micros>(spec.value * 1e6) : 0);
      case Act::kLower:
        return discovery_.BeginAgain();
      case Act::kMove:
        discovery_.Move(kKeepMoved);
        links_.Forget(Links::kDiscovery);
        return sidecars_.Moved();
      default:
        return;
    }
  }

  const Scenario& scenario_;
  const Plan& plan_;
  const RunOptions& options_;
  asio::io_context io_{1};
  Clock clock_;
  WorkDirectory directory_;
  Records records_;
  Journal journal_;
  Links links_;
  Servers servers_;
  DiscoveryShell discovery_;
  std::unique_ptr<Registries> registries_;  // null with the scripted discovery
  Sidecars sidecars_;
  Timeline timeline_;
  std::vector<std::unique_ptr<Application>> applications_;
  asio::steady_timer arrivals_;
  asio::steady_timer samples_;
  asio::steady_timer looks_;
  EndSignals end_signals_;
  std::size_t next_ = 0;  // arrival
  std::size_t attempts_seen_ = 0;
  std::unordered_set<std::string> attempted_;
  Clock::Steady::time_point said_;
  bool interrupted_ = false;
};

}  // namespace

Records Play(const Scenario& scenario, const Plan& plan, const RunOptions& options) {
  RaiseDescriptors();
  return Lab(scenario, plan, options).Run();
}

}  // namespace violetwing::lab
