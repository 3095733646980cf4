// Three control processes and two sidecars on a virtual clock: acknowledged state reaches all of them,
// whichever single message is lost, duplicated, delayed or damaged, and whichever process ends or is
// suspended.
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "testing/announcing_server.hpp"
#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"
#include "testing/wire_fields.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using testing::AnnouncingServer;
using testing::Document;
using testing::VirtualSystem;
using testing::WireMessage;

constexpr Micros kSecond = 1'000'000;
constexpr int kTimeoutMs = 1000;
constexpr int kConfigurationShard = 0;

// Sends one change until it has a definite response, as the operator does: after each failure to the next
// process.
class Operator {
 public:
  Operator(VirtualSystem& system, std::int64_t version, std::int64_t base, std::size_t first, int routes = 0)
      : system_(system), document_(Document(version, kTimeoutMs, routes)), base_(base), next_(first) {
    Send();
  }
  int status() const { return *status_; }
  bool Answered() const { return *status_ != 0; }

 private:
  void Send() {
    system_.CallPublic(next_++ % system_.controls(), "PUT", "/api/configuration", document_, base_,
                       [this, alive = std::weak_ptr<int>(status_)](int status, const std::string&) {
                         if (alive.expired()) return;
                         if (status == 0 || status >= 500) return Send();
                         *status_ = status;
                       });
  }

  VirtualSystem& system_;
  const std::string document_;
  const std::int64_t base_;
  std::size_t next_;
  const std::shared_ptr<int> status_ = std::make_shared<int>(0);
};

// A system with two servers, and the steps of a scenario.
class SystemScenario {
 public:
  explicit SystemScenario(std::uint64_t seed = 1)
      : system(3, 2, seed),
        remaining_server_(system, "i-stays", "10.1.0.1:80"),
        departing_server_(system, "i-leaves", "10.1.0.2:80") {}

  // Runs until `done` holds; fails the test if it does not within `max_duration`.
  void Await(const std::string& what, const std::function<bool()>& done, Micros max_duration = 10 * kSecond) {
    const bool held = system.RunUntil(
        [&] {
          remaining_server_.Step();
          departing_server_.Step();
          return done();
        },
        max_duration);
    INFO("awaited: " << what);
    CHECK(held);
  }
  bool AllSidecars(const std::function<bool(const SystemView&)>& holds) {
    for (std::size_t i = 0; i < system.sidecars(); ++i)
      if (!holds(*system.sidecar(i).view)) return false;
    return true;
  }
  void Configure(std::int64_t version, std::int64_t base, std::size_t first = 0, int routes = 0) {
    const Operator change(system, version, base, first, routes);
    Await("an answer to version " + std::to_string(version), [&] { return change.Answered(); });
    CHECK(change.status() == 200);
    Await("version " + std::to_string(version) + " at all sidecars",
          [&] { return AllSidecars([&](const SystemView& view) { return view.version() >= version; }); });
  }
  void AwaitServers(std::size_t count) {
    Await(std::to_string(count) + " servers at all sidecars", [&] {
      return AllSidecars(
          [&](const SystemView& view) { return view.MakeDirectory()->Servers("s").size() == count; });
    });
  }
  void Drain() {
    departing_server_.Drain();
    Await("the drain's acknowledgment", [&] { return departing_server_.drain_acknowledged(); });
    AwaitServers(1);
  }
  // A process that does not lead the configuration's shard.
  std::size_t Follower() {
    std::size_t i = 0;
    while (system.control(i).core->shards().configuration_replica().leader()) ++i;
    return i;
  }
  // The complete scenario: a configuration, two servers, a drain and another configuration, until all
  // processes agree.
  void RunAllSteps() {
    Configure(3, 0);
    AwaitServers(2);
    Drain();
    Configure(8, 3, 1);
    Await("version 8 at all control processes", [&] {
      for (std::size_t i = 0; i < system.controls(); ++i)
        if (system.IsRunning(i) && system.control(i).core->configuration().version() != 8) return false;
      return true;
    });
    CHECK(system.violations().empty());
  }

  VirtualSystem system;

 private:
  AnnouncingServer remaining_server_;
  AnnouncingServer departing_server_;
};

const char* const kPaths[] = {kExchangePath, kWatchPath};
// Indexes of the tampered messages among those of one path and direction. Early messages elect and join,
// later ones carry the changes and the drain.
constexpr int kMessageIndexes[] = {0, 1, 2, 5, 12, 25, 60};

void RunTampered(const std::string& path, bool is_response, int index,
                 const std::function<void(WireMessage&)>& change) {
  INFO(path << (is_response ? " response " : " call ") << index);
  SystemScenario scenario;
  int seen = 0;
  scenario.system.tamper = [&](WireMessage& message) {
    if (message.path == path && message.is_response == is_response && seen++ == index) change(message);
  };
  scenario.RunAllSteps();
  // Messages with a high index come after these steps. The system must still accept a change after them.
  scenario.Await(
      "the tampered message", [&] { return seen > index; }, 30 * kSecond);
  scenario.Configure(12, 8, 2);
  CHECK(scenario.system.violations().empty());
}

}  // namespace

TEST_CASE("System: each sidecar receives the addresses of its neighbors") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  scenario.Await("the other sidecar's address", [&] {
    return scenario.system.sidecar(0).view->neighbors() == std::vector<std::string>{"edge-1:1"} &&
           scenario.system.sidecar(1).view->neighbors() == std::vector<std::string>{"edge-0:1"};
  });
}

TEST_CASE("System: a change, heartbeats and a drain reach all sidecars") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SystemScenario scenario(seed);
    scenario.RunAllSteps();
  }
}

TEST_CASE("System: the loss, duplication or delay of one message of any kind loses no acknowledged state") {
  for (const char* path : kPaths)
    for (const bool is_response : {false, true})
      for (const int index : kMessageIndexes) {
        RunTampered(path, is_response, index, [](WireMessage& message) { message.copies = 0; });
        RunTampered(path, is_response, index, [](WireMessage& message) { message.copies = 2; });
        RunTampered(path, is_response, index, [](WireMessage& message) { message.extra_delay = 300'000; });
        RunTampered(path, is_response, index,
                    [](WireMessage& message) { message.extra_delay = 2 * kSecond; });
        RunTampered(path, is_response, index,
                    [](WireMessage& message) { message.body.resize(message.body.size() / 2); });
      }
}

TEST_CASE(
    "System: a missing field or one of another type in one message of any kind loses no acknowledged state") {
  const wire::ExchangeRequest exchange_request;
  const wire::ExchangeReply exchange_reply;
  const wire::PullRequest watch_request;
  const wire::PullReply watch_reply;
  struct MessageKind {
    const char* path;
    bool is_response;
    const google::protobuf::Message& prototype;
  };
  for (const MessageKind& kind :
       {MessageKind{kExchangePath, false, exchange_request}, MessageKind{kExchangePath, true, exchange_reply},
        MessageKind{kWatchPath, false, watch_request}, MessageKind{kWatchPath, true, watch_reply}})
    for (const auto* field : testing::FieldsOf(kind.prototype))
      for (const int index : {1, 12, 40}) {
        INFO("field " << field->full_name());
        RunTampered(kind.path, kind.is_response, index, [&](WireMessage& message) {
          message.body = testing::Without(kind.prototype, field, message.body);
        });
        RunTampered(kind.path, kind.is_response, index, [&](WireMessage& message) {
          message.body = testing::WithOtherType(kind.prototype, field, message.body);
        });
      }
}

TEST_CASE("System: a change is acknowledged exactly once when the process that received it ends") {
  for (Micros after = 0; after <= 60'000; after += VirtualSystem::kStep)
    for (const bool power : {false, true}) {
      INFO("ends after " << after << " us" << (power ? ", without power" : ""));
      SystemScenario scenario;
      scenario.Configure(3, 0);
      const Operator change(scenario.system, 8, 3, 0);
      scenario.system.Run(after);
      power ? scenario.system.PowerOff(0) : scenario.system.Kill(0);
      scenario.Await("an answer", [&] { return change.Answered(); });
      CHECK(change.status() == 200);
      scenario.system.Start(0);
      scenario.Await("version 8 at the process that ended",
                     [&] { return scenario.system.control(0).core->configuration().version() == 8; });
      // Another change based on the same version is rejected, wherever it is sent.
      const Operator other(scenario.system, 9, 3, 0);
      scenario.Await("an answer to the other", [&] { return other.Answered(); });
      CHECK(other.status() == 412);
      CHECK(scenario.system.violations().empty());
    }
}

// At the start, log entries after the snapshot are applied again, and the process sends nothing to the others
// meanwhile.
TEST_CASE("System: a restart after many large changes replays few log entries") {
  constexpr int kRoutes = 600;
  constexpr std::int64_t kChanges = 30;
  // Eight changes of 68 kB, each an entry of 107 kB; the write of the next snapshot may still be in progress.
  constexpr std::size_t kMaxReplayBytes = std::size_t{1024} * 1024;
  SystemScenario scenario;
  for (std::int64_t version = 1; version <= kChanges; ++version)
    scenario.Configure(version, version - 1, 0, kRoutes);
  for (std::size_t i = 0; i < scenario.system.controls(); ++i) scenario.system.Kill(i);
  for (std::size_t i = 0; i < scenario.system.controls(); ++i) {
    std::size_t replay_bytes = 0;
    for (const consensus::Entry& entry : scenario.system.control(i).stored.at(0).entries)
      replay_bytes += entry.command.size();
    CHECK(replay_bytes < kMaxReplayBytes);
    scenario.system.Start(i);
  }
  scenario.Configure(kChanges + 1, kChanges, 0, kRoutes);
  CHECK(scenario.system.violations().empty());
}

TEST_CASE("System: a forwarded change that is lost is forwarded again within the same call") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  bool lost = false;
  scenario.system.tamper = [&](WireMessage& message) {
    if (lost || message.path != kExchangePath || message.is_response) return;
    if (Decode<ExchangeRequest>(message.body).value().proposals.empty()) return;
    lost = true;
    message.copies = 0;
  };
  int status = 0;
  const Micros call_timeout = std::exchange(scenario.system.call_timeout, 2 * kSecond);
  scenario.system.CallPublic(scenario.Follower(), "PUT", "/api/configuration", Document(8, kTimeoutMs, 0), 3,
                             [&](int received, const std::string&) { status = received; });
  scenario.system.call_timeout = call_timeout;
  scenario.Await("an answer", [&] { return status != 0; });
  CHECK(lost);
  CHECK(status == 200);
}

// Guards against a fault in which each process proposed the change again, so that the leader wrote and sent
// it several times.
TEST_CASE(
    "System: a change sent to all processes at once becomes one log entry, and every caller is "
    "acknowledged") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  const auto last_index = [&] {
    consensus::Index highest = 0;
    for (std::size_t i = 0; i < scenario.system.controls(); ++i)
      highest = std::max(highest, scenario.system.control(i).core->shards().configuration_replica().last());
    return highest;
  };
  const consensus::Index before = last_index();
  std::vector<std::unique_ptr<Operator>> operators;
  for (std::size_t i = 0; i < scenario.system.controls(); ++i)
    operators.push_back(std::make_unique<Operator>(scenario.system, 8, 3, i, 1400));
  scenario.Await("all answers", [&] {
    return std::all_of(operators.begin(), operators.end(),
                       [](const auto& sender) { return sender->Answered(); });
  });
  for (const auto& sender : operators) CHECK(sender->status() == 200);
  CHECK(last_index() == before + 1);
  CHECK(scenario.system.violations().empty());
}

TEST_CASE("System: a large change in flight is acknowledged although the leader ends") {
  for (Micros after = VirtualSystem::kStep; after <= 60'000; after += VirtualSystem::kStep) {
    INFO("ends after " << after << " us");
    SystemScenario scenario;
    scenario.Configure(3, 0);
    const std::size_t follower = scenario.Follower();
    std::size_t leader = 0;
    while (!scenario.system.control(leader).core->shards().configuration_replica().leader()) ++leader;
    const Operator change(scenario.system, 8, 3, follower, 1400);
    scenario.system.Run(after);
    scenario.system.PowerOff(leader);
    scenario.Await("an answer", [&] { return change.Answered(); });
    CHECK(change.status() == 200);
    scenario.system.Start(leader);
    scenario.Await("version 8 at all sidecars", [&] {
      return scenario.AllSidecars([](const SystemView& view) { return view.version() == 8; });
    });
    CHECK(scenario.system.violations().empty());
  }
}

TEST_CASE("DRAIN: a process that cannot notify sidecars of a departure does not acknowledge it") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  scenario.AwaitServers(2);
  // The messages of the configuration's shard, which prove quorum contact, are lost; the shards that hold
  // departures continue.
  scenario.system.tamper = [](WireMessage& message) {
    if (message.path != kExchangePath || message.is_response) return;
    auto request = Decode<ExchangeRequest>(message.body);
    std::erase_if(request->messages, [](const auto& lost) { return lost.shard == kConfigurationShard; });
    message.body = Encode(*request);
  };
  scenario.system.Run(1'100'000);
  std::vector<int> statuses;
  for (std::size_t i = 0; i < scenario.system.controls(); ++i)
    scenario.system.CallPublic(i, "DELETE", "/api/instances/i-leaves", "", 0,
                               [&](int status, const std::string&) { statuses.push_back(status); });
  scenario.system.Run(kSecond);
  CHECK(statuses == std::vector<int>(scenario.system.controls(), 503));
  scenario.system.tamper = nullptr;
  scenario.AwaitServers(1);
}

TEST_CASE("System: an acknowledged drain outlives the process that acknowledged it") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SystemScenario scenario(seed);
    scenario.Configure(3, 0);
    scenario.AwaitServers(2);
    const std::size_t receiver = scenario.Follower();
    const auto heartbeat = [&](std::size_t at, const char* phase, int sequence,
                               std::function<void(int)> done) {
      const json body{{"backend", "s"},
                      {"address", "10.1.0.2:80"},
                      {"capacity", 4},
                      {"phase", phase},
                      {"sequence", sequence}};
      scenario.system.CallPublic(at, "PUT", "/api/instances/i-leaves", body.dump(), 0,
                                 [done = std::move(done)](int status, const std::string&) { done(status); });
    };
    // The process ends when it responds. A heartbeat from before the drain then reaches another process late.
    int status = 0;
    heartbeat(receiver, "draining", 1000, [&](int received) {
      status = received;
      scenario.system.Kill(receiver);
    });
    REQUIRE(scenario.system.RunUntil([&] { return status != 0; }, kSecond));
    REQUIRE(status == 200);
    heartbeat((receiver + 1) % 3, "ready", 999, [](int) {});
    scenario.system.Run(kSecond);
    CHECK(scenario.AllSidecars([](const SystemView& view) {
      return view.MakeDirectory()->Find("i-leaves")->phase == Phase::kDraining;
    }));
  }
}

// The heartbeats are sent at many offsets from the exchanges that timers and replicas begin.
TEST_CASE("System: a heartbeat at one process reaches the sidecars of all others within 100 ms") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SystemScenario scenario(seed);
    scenario.Configure(3, 0);
    scenario.AwaitServers(2);
    scenario.system.Run(static_cast<Micros>(seed) * VirtualSystem::kStep);
    for (std::size_t at = 0; at < scenario.system.controls(); ++at) {
      INFO("seed " << seed << ", process " << at);
      const std::string id = "i-new-" + std::to_string(at);
      const json body{{"backend", "s"}, {"address", "10.2.0.1:" + std::to_string(at)}, {"sequence", 1}};
      int status = 0;
      scenario.system.CallPublic(at, "PUT", "/api/instances/" + id, body.dump(), 0,
                                 [&](int received, const std::string&) { status = received; });
      REQUIRE(scenario.system.RunUntil([&] { return status != 0; }, kSecond));
      scenario.system.Run(100'000);
      CHECK(scenario.AllSidecars(
          [&](const SystemView& view) { return view.MakeDirectory()->Find(id) != nullptr; }));
    }
  }
}

namespace {

// An exchange request of control process 1 with one changed instance, which another process has changed.
ExchangeRequest ExchangeWithInstance(VirtualSystem& system, const std::string& id, Phase phase) {
  Instance server;
  server.id = id;
  server.backend = "s";
  server.address = "10.1.0.2:80";
  server.sequence = 5;
  server.phase = phase;
  server.origin = "another";
  server.counter = 5;
  ExchangeRequest request;
  request.sender.node = "control-1";
  request.sender.address = system.control(1).address;
  request.incarnation = "incarnation of 1";
  request.changed_instances = {server};
  return request;
}

}  // namespace

// A peer that takes a restarted process for its earlier incarnation omits the changes that the earlier
// incarnation knew. If the restarted process merged such an exchange, its version vector would cover the
// omitted changes, and it would never learn of a drain among them.
TEST_CASE("System: changes relative to the version vector of an earlier incarnation are ignored") {
  VirtualSystem system(3, 1, 1);
  system.Run(kSecond);
  ControlCore& core = *system.control(0).core;
  ExchangeRequest request = ExchangeWithInstance(system, "i-1", Phase::kReady);
  request.receiver_incarnation = "incarnation before";
  const ExchangeReply ignored = core.OnExchangeRequest(request, system.now());
  CHECK(ignored.version_vector.count("another") == 0);
  request.receiver_incarnation = ignored.incarnation;
  CHECK(core.OnExchangeRequest(request, system.now()).version_vector.at("another") == 5);
}

TEST_CASE("System: an exchange with changes names the receiver's incarnation") {
  SystemScenario scenario;
  int with_changes = 0;
  int unnamed = 0;
  scenario.system.tamper = [&](WireMessage& message) {
    if (message.path != kExchangePath || message.is_response) return;
    const ExchangeRequest request = Decode<ExchangeRequest>(message.body).value();
    if (request.changed_instances.empty()) return;
    ++with_changes;
    unnamed += request.receiver_incarnation.empty() ? 1 : 0;
  };
  scenario.Configure(3, 0);
  scenario.AwaitServers(2);
  CHECK(with_changes > 0);
  CHECK(unnamed == 0);
}

TEST_CASE(
    "System: an exchange without one of its fields is rejected, except those that earlier versions lack") {
  const wire::ExchangeRequest prototype;
  for (const auto* field : testing::FieldsOf(prototype)) {
    INFO(field->name());
    const std::set<std::string> of_later_versions{"source", "changed_for", "usage", "wants_usage"};
    const bool optional = of_later_versions.count(field->name()) > 0;
    const std::string part = testing::Without(prototype, field, Encode(ExchangeRequest()));
    CHECK(Decode<ExchangeRequest>(part).has_value() == optional);
  }
}

// Most exchanges only carry heartbeats of the shards. Last-seen lists in each of them would be most of their
// bytes.
TEST_CASE(
    "System: last-seen lists are exchanged several times a second, not with each exchange, and are "
    "complete") {
  constexpr int kSeconds = 4;
  VirtualSystem system(3, 2, 1);
  system.Run(2 * kSecond);
  int replies = 0;
  int with_lists = 0;
  system.tamper = [&](WireMessage& message) {
    const auto reply = message.path == kExchangePath && message.is_response
                           ? Decode<ExchangeReply>(message.body)
                           : std::nullopt;
    if (!reply) return;
    ++replies;
    with_lists += reply->control_nodes.empty() ? 0 : 1;
  };
  system.Run(kSeconds * kSecond);
  const int pairs = 3 * 2;
  CHECK(with_lists <= pairs * kSeconds * 7);  // one per 150 ms
  CHECK(with_lists >= pairs * kSeconds * 4);
  CHECK(replies > with_lists + pairs * kSeconds);
  for (std::size_t i = 0; i < system.sidecars(); ++i)
    CHECK(system.sidecar(i).view->MakeDirectory()->sidecar_count() == 2);
}

TEST_CASE("System: a server deregistered by the log stays so when a peer reports it as ready") {
  VirtualSystem system(3, 1, 1);
  system.Run(2 * kSecond);
  int status = 0;
  system.CallPublic(1, "DELETE", "/api/instances/i-1", "", 0,
                    [&](int received, const std::string&) { status = received; });
  REQUIRE(system.RunUntil([&] { return status == 200; }, 3 * kSecond));
  system.Run(kSecond);
  ControlCore& core = *system.control(0).core;
  REQUIRE(core.shards().Deregistered("i-1") == Phase::kDeregistered);  // but its table has no such server
  core.OnExchangeRequest(ExchangeWithInstance(system, "i-1", Phase::kReady), system.now());
  ExchangeRequest empty_exchange = ExchangeWithInstance(system, "i-1", Phase::kReady);
  empty_exchange.changed_instances.clear();
  const ExchangeReply reply = core.OnExchangeRequest(empty_exchange, system.now());
  REQUIRE(reply.changed_instances.size() == 1);
  CHECK(reply.changed_instances[0].phase == Phase::kDeregistered);
}

// Guards against a fault in which each watch of a sidecar was answered at once if servers had changed
// meanwhile, as fast as the sidecar could send watches.
TEST_CASE(
    "System: while servers keep changing, each of many sidecars receives one reply per notification "
    "interval") {
  constexpr std::size_t kSidecars = 80;  // one notification per 60 ms
  constexpr double kMaxRepliesPerSecond = 1000.0 / 60 + 1;
  VirtualSystem system(3, kSidecars, 1);
  system.Run(3 * kSecond);
  std::map<std::string, int> replies;
  system.tamper = [&](WireMessage& message) {
    if (message.path != kWatchPath || !message.is_response) return;
    if (const auto reply = Decode<WatchReply>(message.body))
      ++replies[std::to_string(reply->window_position)];
  };
  const Micros begin = system.now();
  for (int sequence = 1; system.now() < begin + 4 * kSecond; ++sequence) {
    // Each heartbeat is from a new server, so that each is an update.
    const std::string id = "i-" + std::to_string(sequence);
    const json body{{"backend", "s"}, {"address", "10.2.0.1:" + std::to_string(sequence)}, {"sequence", 1}};
    system.CallPublic(static_cast<std::size_t>(sequence) % 3, "PUT", "/api/instances/" + id, body.dump(), 0,
                      [](int, const std::string&) {});
    system.Run(VirtualSystem::kStep);
  }
  CHECK(replies.size() == kSidecars);
  for (const auto& [window_position, count] : replies) CHECK(count / 4.0 <= kMaxRepliesPerSecond);
  system.Run(kSecond / 5);
  for (std::size_t i = 0; i < system.sidecars(); ++i)
    CHECK(system.sidecar(i).view->MakeDirectory()->Find("i-200") != nullptr);
  CHECK(system.violations().empty());
}

// A sidecar may have dropped an instance that its version vector covers, because of a list from another
// process.
TEST_CASE(
    "System: a sidecar that comes from another process receives the complete instance list, whatever it "
    "knows") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  scenario.AwaitServers(2);
  scenario.system.Run(2 * kSecond);
  ControlCore& core = *scenario.system.control(0).core;
  std::optional<WatchReply> reply;
  WatchRequest request;
  request.node = "edge-2";
  const auto watch = [&] {
    reply.reset();
    core.Watch(request, scenario.system.now(),
               [&](const std::optional<WatchReply>& received) { reply = received; });
    REQUIRE(reply.has_value());
    CHECK(reply->complete);
    CHECK(reply->changed_instances.size() == 2);
  };
  watch();
  request.incarnation = "the incarnation of another process";
  request.version_vector = reply->version_vector;
  watch();
}

TEST_CASE(
    "System: of two changes based on one version exactly one is accepted, although a process is isolated "
    "meanwhile") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    SystemScenario scenario(seed);
    scenario.Configure(3, 0);
    const Operator first(scenario.system, 7, 3, 0);
    const Operator second(scenario.system, 8, 3, 1);
    scenario.system.Isolate(seed % 3);
    scenario.system.Run(static_cast<Micros>(seed) * 50'000);
    scenario.system.Heal();
    scenario.Await("both answers", [&] { return first.Answered() && second.Answered(); });
    CHECK(((first.status() == 200) != (second.status() == 200)));
    CHECK(first.status() + second.status() == 200 + 412);
  }
}

TEST_CASE("System: a process resumed from a suspension returns no stale state") {
  SystemScenario scenario;
  scenario.Configure(3, 0);
  for (std::size_t i = 0; i < 3; ++i) {
    INFO("process " << i);
    const auto version = static_cast<std::int64_t>(4 + i);
    scenario.system.Freeze(i, 3 * kSecond);
    // A read that arrives meanwhile is answered when the process resumes.
    const Micros call_timeout = std::exchange(scenario.system.call_timeout, 5 * kSecond);
    int status = 0;
    std::string read;
    scenario.system.CallPublic(i, "GET", "/api/configuration", "", 0,
                               [&](int received, const std::string& body) {
                                 status = received;
                                 read = body;
                               });
    scenario.system.call_timeout = call_timeout;
    scenario.Configure(version, version - 1, i + 1);
    scenario.system.Run(4 * kSecond);
    CHECK(status != 0);
    CHECK((status != 200 || json::parse(read).at("version") == version));
  }
  CHECK(scenario.system.violations().empty());
}

}  // namespace violetwing
