// A deterministic simulation: the cores of control processes and of sidecars' control links on a virtual
// clock, with a network that delays and partitions and may lose, duplicate, delay or change single messages,
// and with disks that lose unsynced writes. Messages between the cores are encoded and decoded, as between
// real processes.
#ifndef VIOLETWING_TESTS_TESTING_VIRTUAL_SYSTEM_HPP_
#define VIOLETWING_TESTS_TESTING_VIRTUAL_SYSTEM_HPP_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "control/api/handlers.hpp"
#include "control/core/control_core.hpp"
#include "control/replication/bootstrap.hpp"
#include "dataplane/control_client/control_process_selector.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::testing {

/// A message in flight: the body of a call, or of the response to one.
struct WireMessage {
  std::string path;
  bool is_response = false;
  std::string body;
  int copies = 1;          ///< number of deliveries; 0: lost
  Micros extra_delay = 0;  ///< on top of the network's delay
};

/// All times in microseconds of virtual time.
class VirtualSystem {
 public:
  static constexpr Micros kStep = 10'000;
  static constexpr Micros kTick = 50'000;
  static constexpr int kWatchWaitMs = 400;

  struct Control {
    std::string address;  // for internal calls
    std::string public_address;
    std::string replica_id;
    std::map<int, consensus::StoredState> stored;
    // Writes in progress, by completion time.
    std::deque<std::pair<Micros, std::pair<ShardWrite, std::uint64_t>>> writes;
    std::unique_ptr<ControlCore> core;
    int incarnation = 0;
    Micros frozen_until = 0;
    Micros disk_stalled_until = 0;
  };
  struct Sidecar {
    std::unique_ptr<SystemView> view;
    std::unique_ptr<ControlProcessSelector> selector;
    bool watch_in_flight = false;
    Micros next_watch_at = 0;
    std::int64_t highest_version = 0;  ///< of the configurations that it has applied
  };

  /// Settings of the control processes.
  struct Options {
    bool reports_usage = false;
    std::int64_t lease_ms = 1000;
    std::int64_t report_window_ms = 1000;
    std::int64_t usage_delay_ms = 2000;
  };

  VirtualSystem(std::size_t controls, std::size_t sidecars, std::uint64_t seed)
      : VirtualSystem(controls, sidecars, seed, Options()) {}
  VirtualSystem(std::size_t controls, std::size_t sidecars, std::uint64_t seed, Options options)
      : options_(options), random_(seed) {
    for (std::size_t i = 0; i < controls; ++i) {
      Control control;
      control.address = "10.0.0." + std::to_string(i + 1) + ":100";
      control.public_address = "10.0.0." + std::to_string(i + 1) + ":99";
      control.replica_id = BootstrapReplicaId(control.address);
      controls_.push_back(std::move(control));
    }
    for (std::size_t i = 0; i < controls; ++i) Start(i);
    sidecars_.resize(sidecars);
    for (std::size_t i = 0; i < sidecars; ++i) {
      const std::string name = "edge-" + std::to_string(i);
      sidecars_[i].view = std::make_unique<SystemView>(name, name + ":1");
      sidecars_[i].selector = std::make_unique<ControlProcessSelector>("zone", name);
      std::vector<std::string> seeds;
      for (const Control& control : controls_) seeds.push_back(control.address);
      sidecars_[i].selector->SetSeeds(std::move(seeds));
    }
  }

  Micros now() const { return now_; }
  Control& control(std::size_t i) { return controls_[i]; }
  Sidecar& sidecar(std::size_t i) { return sidecars_[i]; }
  std::size_t controls() const { return controls_.size(); }
  std::size_t sidecars() const { return sidecars_.size(); }
  const std::vector<std::string>& violations() const { return violations_; }
  Micros max_write_time = 8'000;  ///< longest duration of a write with its sync
  Micros call_timeout = 600'000;  ///< after which a call without a response has failed
  /// May change any message in flight.
  std::function<void(WireMessage&)> tamper;
  /// Observers of the processes' outputs: messages when they are sent, writes when they are handed to the
  /// disk, calls to model servers. If the last two are not set, calls to servers get no response.
  std::function<void(const WireMessage&)> on_message;
  std::function<void(std::size_t control, const ShardWrite&)> on_write;
  std::function<void(std::size_t control, const PlacementCall&, consensus::Term fencing_token)> on_order;
  std::function<void(std::size_t control, const PlacementCall&)> on_report_request;
  /// Handles a call to the platform; `done` is to be called once, possibly later.
  std::function<void(std::size_t control, const duties::PlatformCall&, std::function<void(int status)> done)>
      on_platform_call;
  /// Errors of the control processes' time-of-day clocks, by process.
  std::map<std::size_t, Micros> clock_errors;

  // ---- Processes and faults ----

  void Start(std::size_t i) {
    Control& control = controls_[i];
    NodeSettings settings;
    settings.node_name = "control-" + std::to_string(i);
    settings.ip = control.address.substr(0, control.address.find(':'));
    settings.zone = "zone";
    settings.internal_port = 100;
    settings.control_plane = control.public_address;
    for (const Control& seed : controls_) settings.seeds.push_back(seed.public_address);
    settings.heartbeat_ms = 500;
    settings.lease_ms = options_.lease_ms;
    settings.reports_usage = options_.reports_usage;
    settings.report_window_ms = options_.report_window_ms;
    settings.usage_delay_ms = options_.usage_delay_ms;
    ControlCore::Outputs outputs;
    outputs.write = [this, i](ShardWrite write, std::uint64_t token) {
      if (on_write) on_write(i, write);
      const Micros last = controls_[i].writes.empty() ? now_ : controls_[i].writes.back().first;
      controls_[i].writes.push_back({last + RandomDelay(max_write_time), {std::move(write), token}});
    };
    outputs.exchange = [this, i](const std::string& to, const ExchangeRequest& request) {
      CallInternal(
          controls_[i].address, to, kExchangePath, Encode(request),
          [this, i, to, incarnation = controls_[i].incarnation](int status, const std::string& body) {
            if (controls_[i].core == nullptr || controls_[i].incarnation != incarnation) return;
            controls_[i].core->OnExchangeReply(to, DecodeReply<ExchangeReply>(status, body), now_);
          });
    };
    outputs.send_order = [this, i](const PlacementCall& call, consensus::Term fencing_token) {
      if (on_order) on_order(i, call, fencing_token);
    };
    outputs.request_report = [this, i](const PlacementCall& call) {
      if (on_report_request) on_report_request(i, call);
    };
    outputs.call_platform = [this, i](const duties::PlatformCall& call) {
      if (!on_platform_call) return;
      on_platform_call(i, call, [this, i, call, incarnation = controls_[i].incarnation](int status) {
        if (controls_[i].core != nullptr && controls_[i].incarnation == incarnation)
          controls_[i].core->OnPlatformResponse(call, status, now_);
      });
    };
    outputs.failed = [this, i](int shard, std::error_code error) {
      violations_.push_back("control " + std::to_string(i) + " shard " + std::to_string(shard) + ": " +
                            error.message());
    };
    ++control.incarnation;
    control.core = std::make_unique<ControlCore>(
        settings, settings.node_name + "/" + std::to_string(control.incarnation),
        Shards::Stored{control.replica_id, control.stored}, std::move(outputs), now_);
  }
  bool IsRunning(std::size_t i) const { return controls_[i].core != nullptr; }
  /// Ends the process; writes handed to the operating system survive.
  void Kill(std::size_t i) {
    for (const auto& write : controls_[i].writes) Persist(controls_[i], write.second.first);
    PowerOff(i);
  }
  /// Begins the process's shutdown: it gives up leadership and announces the shutdown. It runs until
  /// PowerOff.
  void BeginShutdown(std::size_t i) { controls_[i].core->Stop(); }
  /// Ends the process; writes in progress are lost.
  void PowerOff(std::size_t i) {
    controls_[i].core.reset();
    controls_[i].writes.clear();
  }
  void Freeze(std::size_t i, Micros span) { controls_[i].frozen_until = now_ + span; }
  void StallDisk(std::size_t i, Micros span) { controls_[i].disk_stalled_until = now_ + span; }
  /// Partitions the process from everyone.
  void Isolate(std::size_t i) { isolated_.insert(controls_[i].address); }
  /// Partitions the process from the other control processes only; servers, sidecars and operators reach it.
  void IsolateFromPeers(std::size_t i) { isolated_from_peers_.insert(controls_[i].address); }
  void Heal() {
    isolated_.clear();
    isolated_from_peers_.clear();
  }

  // ---- Calls of servers, sidecars and operators ----

  /// Calls `act` after a delay.
  void After(Micros delay, std::function<void()> act) { Schedule(now_ + delay, std::move(act)); }

  /// The first watch of a sidecar that has just started, with the usage that it has counted.
  void CallWatch(std::size_t i, std::function<void(int status, const std::string&)> done,
                 UsageReport usage = {}) {
    WatchRequest request;
    request.node = "edge-new";
    request.usage = std::move(usage);
    Call("outside", i, {"POST", kWatchPath, Encode(request), {}}, /*internal=*/true, std::move(done));
  }
  /// `done` receives the HTTP status, 0 without a response.
  void CallPublic(std::size_t i, const std::string& method, const std::string& path, const std::string& body,
                  std::int64_t base, std::function<void(int status, const std::string&)> done) {
    http::Request request{method, path, body, std::to_string(base)};
    Call("outside", i, std::move(request), /*internal=*/false, std::move(done));
  }

  // ---- Time ----

  void Run(Micros span) {
    for (const Micros until = now_ + span; now_ < until;) Step();
  }
  bool RunUntil(const std::function<bool()>& done, Micros max_duration) {
    for (const Micros until = now_ + max_duration; now_ < until && !done();) Step();
    return done();
  }

 private:
  struct Event {
    Micros at = 0;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::tie(at, number) < std::tie(other.at, other.number);
    }
  };

  // From 1 to `bound`.
  Micros RandomDelay(Micros bound) {
    return 1 + static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(bound)));
  }

  void Schedule(Micros at, std::function<void()> act) {
    events_.insert({at, ++last_event_number_, std::move(act)});
  }

  template <class Reply>
  static std::optional<Reply> DecodeReply(int status, const std::string& body) {
    return status == 200 ? Decode<Reply>(body) : std::nullopt;
  }

  static void Persist(Control& control, const ShardWrite& write) {
    ApplyWrite(control.stored[write.shard], write);
  }

  bool IsControl(const std::string& address) const {
    return std::any_of(controls_.begin(), controls_.end(),
                       [&](const Control& control) { return control.address == address; });
  }

  bool IsPartitioned(const std::string& from, const std::string& to) const {
    if (isolated_.count(from) > 0 || isolated_.count(to) > 0) return true;
    return IsControl(from) && IsControl(to) &&
           (isolated_from_peers_.count(from) > 0 || isolated_from_peers_.count(to) > 0);
  }

  // Sends a message from `from` to `to`, as many times as it has copies.
  void SendMessage(const std::string& from, const std::string& to, WireMessage message,
                   const std::function<void(const std::string& body)>& deliver) {
    if (tamper) tamper(message);
    if (on_message) on_message(message);
    for (int copy = 0; copy < message.copies; ++copy)
      Schedule(now_ + RandomDelay(3'000) + message.extra_delay,
               [this, from, to, deliver, body = message.body] {
                 if (!IsPartitioned(from, to)) deliver(body);
               });
  }

  void CallInternal(const std::string& from, const std::string& to, const std::string& path, std::string body,
                    std::function<void(int, const std::string&)> done) {
    for (std::size_t i = 0; i < controls_.size(); ++i)
      if (controls_[i].address == to)
        return Call(from, i, {"POST", path, std::move(body), {}}, /*internal=*/true, std::move(done));
    done(0, {});
  }

  void Call(const std::string& from, std::size_t to, http::Request request, bool internal,
            std::function<void(int, const std::string&)> done) {
    auto finished = std::make_shared<bool>(false);
    const auto finish = [finished, done = std::move(done)](int status, const std::string& body) {
      if (!std::exchange(*finished, true)) done(status, body);
    };
    Schedule(now_ + call_timeout, [finish] { finish(0, {}); });
    const std::string path = request.path;
    const std::string address = controls_[to].address;
    WireMessage message{path, false, request.body};
    SendMessage(from, address, std::move(message), [=, this](const std::string& body) {
      http::Request arrived = request;
      arrived.body = body;
      Deliver(to, arrived, internal, [=, this](const http::Response& response) {
        WireMessage reply{path, true, response.body};
        SendMessage(address, from, std::move(reply),
                    [finish, status = response.status](const std::string& text) { finish(status, text); });
      });
    });
  }

  void Deliver(std::size_t to, const http::Request& request, bool internal, const http::Responder& respond) {
    Control& control = controls_[to];
    if (control.core == nullptr) return;
    if (control.frozen_until > now_)
      return Schedule(control.frozen_until + 1, [=, this] { Deliver(to, request, internal, respond); });
    if (internal)
      HandleInternal(*control.core, request, now_, respond);
    else
      HandlePublic(*control.core, request, now_, respond);
  }

  void Step() {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->at <= now_) {
      const Event event = *events_.begin();
      events_.erase(events_.begin());
      event.act();
    }
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      if (!IsRunning(i) || controls_[i].frozen_until > now_) continue;
      FinishWrites(controls_[i]);
      controls_[i].core->OnClock(now_ + clock_errors[i], now_);
      if (now_ % kTick == 0)
        controls_[i].core->Tick(now_);
      else if (controls_[i].core->NextElectionAt().value_or(now_ + 1) <= now_)
        controls_[i].core->OnElectionDue(now_);
    }
    for (std::size_t i = 0; i < sidecars_.size(); ++i)
      if (!sidecars_[i].watch_in_flight && now_ >= sidecars_[i].next_watch_at) Watch(i);
  }

  void FinishWrites(Control& control) {
    while (!control.writes.empty() && control.writes.front().first <= now_ &&
           control.disk_stalled_until <= now_) {
      const auto write = std::move(control.writes.front().second);
      control.writes.pop_front();
      Persist(control, write.first);
      control.core->OnWriteDurable(write.second, now_);
    }
  }

  void Watch(std::size_t i) {
    Sidecar& sidecar = sidecars_[i];
    sidecar.watch_in_flight = true;
    const std::string to = sidecar.selector->Current(sidecar.view->control_nodes());
    CallInternal("edge-" + std::to_string(i), to, kWatchPath,
                 Encode(sidecar.view->NextWatchRequest(kWatchWaitMs, {})),
                 [this, i](int status, const std::string& body) { OnWatchResponse(i, status, body); });
  }

  void OnWatchResponse(std::size_t i, int status, const std::string& body) {
    Sidecar& sidecar = sidecars_[i];
    sidecar.watch_in_flight = false;
    if (const auto reply = DecodeReply<WatchReply>(status, body)) {
      sidecar.view->Apply(*reply);
      sidecar.selector->OnAnswered(sidecar.view->control_nodes(), now_);
      sidecar.next_watch_at = now_;
    } else {
      sidecar.selector->OnFailed(sidecar.view->control_nodes(), now_);
      sidecar.next_watch_at = now_ + 100'000;
    }
    if (sidecar.view->version() < sidecar.highest_version)
      violations_.push_back("sidecar " + std::to_string(i) + " went back from version " +
                            std::to_string(sidecar.highest_version));
    sidecar.highest_version = std::max(sidecar.highest_version, sidecar.view->version());
  }

  const Options options_;
  Micros now_ = 1'000'000;
  Random random_;
  std::vector<Control> controls_;
  std::vector<Sidecar> sidecars_;
  std::set<std::string> isolated_;             // addresses of processes that are partitioned from everyone
  std::set<std::string> isolated_from_peers_;  // likewise, from the other control processes only
  std::set<Event> events_;
  std::uint64_t last_event_number_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_VIRTUAL_SYSTEM_HPP_
