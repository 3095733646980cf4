// Three control processes and two sidecars on a virtual clock: what is acknowledged reaches all, whichever
// single message is lost, duplicated, delayed or damaged, and whichever process ends or is suspended.
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

// Sends one change until it has a clear answer, as the operator does: to the next process after each failure.
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

// A system with two servers; the stages of one short life of it.
class Play {
 public:
  explicit Play(std::uint64_t seed = 1)
      : system(3, 2, seed),
        stays_(system, "i-stays", "10.1.0.1:80"),
        leaves_(system, "i-leaves", "10.1.0.2:80") {}

  // Runs until `done` holds; fails the test if it does not within `most`.
  void Await(const std::string& what, const std::function<bool()>& done, Micros most = 10 * kSecond) {
    const bool held = system.RunUntil(
        [&] {
          stays_.Turn();
          leaves_.Turn();
          return done();
        },
        most);
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
    leaves_.Drain();
    Await("the drain's acknowledgement", [&] { return leaves_.drain_acknowledged(); });
    AwaitServers(1);
  }
  // A process that does not lead the configuration's shard.
  std::size_t Follower() {
    std::size_t i = 0;
    while (system.control(i).core->shards().configuration_replica().leader()) ++i;
    return i;
  }
  // The whole life: a configuration, servers, a drain, another configuration, and all agree.
  void Whole() {
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
  AnnouncingServer stays_;
  AnnouncingServer leaves_;
};

const char* const kPaths[] = {kExchangePath, kWatchPath};
// Changes the n-th message of a path and direction. Early messages elect and join, later ones carry the
// changes and the drain.
constexpr int kPlaces[] = {0, 1, 2, 5, 12, 25, 60};

void PlayTampered(const std::string& path, bool answer, int at,
                  const std::function<void(WireMessage&)>& change) {
  INFO(path << (answer ? " answer " : " call ") << at);
  Play play;
  int seen = 0;
  play.system.tamper = [&](WireMessage& message) {
    if (message.path == path && message.is_response == answer && seen++ == at) change(message);
  };
  play.Whole();
  // Late ones come after that; all goes on behind them.
  play.Await(
      "the message that is changed", [&] { return seen > at; }, 30 * kSecond);
  play.Configure(12, 8, 2);
  CHECK(play.system.violations().empty());
}

}  // namespace

TEST_CASE("System: each sidecar receives the addresses of its neighbors") {
  Play play;
  play.Configure(3, 0);
  play.Await("the other sidecar's address", [&] {
    return play.system.sidecar(0).view->neighbors() == std::vector<std::string>{"edge-1:1"} &&
           play.system.sidecar(1).view->neighbors() == std::vector<std::string>{"edge-0:1"};
  });
}

TEST_CASE("System: a change, heartbeats and a drain reach all sidecars") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Play play(seed);
    play.Whole();
  }
}

TEST_CASE("System: the loss, duplication or delay of one message of any kind loses no acknowledged state") {
  for (const char* path : kPaths)
    for (const bool answer : {false, true})
      for (const int at : kPlaces) {
        PlayTampered(path, answer, at, [](WireMessage& message) { message.copies = 0; });
        PlayTampered(path, answer, at, [](WireMessage& message) { message.copies = 2; });
        PlayTampered(path, answer, at, [](WireMessage& message) { message.extra_delay = 300'000; });
        PlayTampered(path, answer, at, [](WireMessage& message) { message.extra_delay = 2 * kSecond; });
        PlayTampered(path, answer, at,
                     [](WireMessage& message) { message.body.resize(message.body.size() / 2); });
      }
}

TEST_CASE(
    "System: a missing field or one of another type in one message of any kind loses no acknowledged state") {
  const wire::ExchangeRequest exchange;
  const wire::ExchangeReply exchanged;
  const wire::PullRequest pull;
  const wire::PullReply pulled;
  struct Kind {
    const char* path;
    bool answer;
    const google::protobuf::Message& form;
  };
  for (const Kind& kind : {Kind{kExchangePath, false, exchange}, Kind{kExchangePath, true, exchanged},
                           Kind{kWatchPath, false, pull}, Kind{kWatchPath, true, pulled}})
    for (const auto* field : testing::FieldsOf(kind.form))
      for (const int at : {1, 12, 40}) {
        INFO("field " << field->full_name());
        PlayTampered(kind.path, kind.answer, at, [&](WireMessage& message) {
          message.body = testing::Without(kind.form, field, message.body);
        });
        PlayTampered(kind.path, kind.answer, at, [&](WireMessage& message) {
          message.body = testing::WithOtherType(kind.form, field, message.body);
        });
      }
}

TEST_CASE("System: a change is acknowledged exactly once when the process that received it ends") {
  for (Micros after = 0; after <= 60'000; after += VirtualSystem::kStep)
    for (const bool power : {false, true}) {
      INFO("ends after " << after << " us" << (power ? ", without power" : ""));
      Play play;
      play.Configure(3, 0);
      const Operator change(play.system, 8, 3, 0);
      play.system.Run(after);
      power ? play.system.PowerOff(0) : play.system.Kill(0);
      play.Await("an answer", [&] { return change.Answered(); });
      CHECK(change.status() == 200);
      play.system.Start(0);
      play.Await("version 8 at the process that ended",
                 [&] { return play.system.control(0).core->configuration().version() == 8; });
      // Another one on the same version comes too late, wherever it is sent.
      const Operator other(play.system, 9, 3, 0);
      play.Await("an answer to the other", [&] { return other.Answered(); });
      CHECK(other.status() == 412);
      CHECK(play.system.violations().empty());
    }
}

// Entries after the snapshot are applied again at the start, with no word to the others meanwhile.
TEST_CASE("System: a restart after many large changes replays few log entries") {
  constexpr int kRoutes = 600;
  constexpr std::int64_t kChanges = 30;
  // Eight changes of 68 kB, 107 kB each as entries; the next snapshot may be on its way to the disk.
  constexpr std::size_t kMostWork = std::size_t{1024} * 1024;
  Play play;
  for (std::int64_t version = 1; version <= kChanges; ++version)
    play.Configure(version, version - 1, 0, kRoutes);
  for (std::size_t i = 0; i < play.system.controls(); ++i) play.system.Kill(i);
  for (std::size_t i = 0; i < play.system.controls(); ++i) {
    std::size_t work = 0;
    for (const consensus::Entry& entry : play.system.control(i).stored.at(0).entries)
      work += entry.command.size();
    CHECK(work < kMostWork);
    play.system.Start(i);
  }
  play.Configure(kChanges + 1, kChanges, 0, kRoutes);
  CHECK(play.system.violations().empty());
}

TEST_CASE("System: a forwarded change that is lost is forwarded again within the same call") {
  Play play;
  play.Configure(3, 0);
  bool lost = false;
  play.system.tamper = [&](WireMessage& message) {
    if (lost || message.path != kExchangePath || message.is_response) return;
    if (Decode<ExchangeRequest>(message.body).value().proposals.empty()) return;
    lost = true;
    message.copies = 0;
  };
  int status = 0;
  const Micros call_timeout = std::exchange(play.system.call_timeout, 2 * kSecond);
  play.system.CallPublic(play.Follower(), "PUT", "/api/configuration", Document(8, kTimeoutMs, 0), 3,
                         [&](int got, const std::string&) { status = got; });
  play.system.call_timeout = call_timeout;
  play.Await("an answer", [&] { return status != 0; });
  CHECK(lost);
  CHECK(status == 200);
}

// Each process proposed it anew, and the leader wrote and sent it as often.
TEST_CASE(
    "System: a change sent to all processes at once becomes one log entry, and every caller is "
    "acknowledged") {
  Play play;
  play.Configure(3, 0);
  const auto last = [&] {
    consensus::Index most = 0;
    for (std::size_t i = 0; i < play.system.controls(); ++i)
      most = std::max(most, play.system.control(i).core->shards().configuration_replica().last());
    return most;
  };
  const consensus::Index before = last();
  std::vector<std::unique_ptr<Operator>> operators;
  for (std::size_t i = 0; i < play.system.controls(); ++i)
    operators.push_back(std::make_unique<Operator>(play.system, 8, 3, i, 1400));
  play.Await("all answers", [&] {
    return std::all_of(operators.begin(), operators.end(), [](const auto& one) { return one->Answered(); });
  });
  for (const auto& one : operators) CHECK(one->status() == 200);
  CHECK(last() == before + 1);
  CHECK(play.system.violations().empty());
}

TEST_CASE("System: a large change in flight is acknowledged although the leader ends") {
  for (Micros after = VirtualSystem::kStep; after <= 60'000; after += VirtualSystem::kStep) {
    INFO("ends after " << after << " us");
    Play play;
    play.Configure(3, 0);
    const std::size_t follower = play.Follower();
    std::size_t leader = 0;
    while (!play.system.control(leader).core->shards().configuration_replica().leader()) ++leader;
    const Operator change(play.system, 8, 3, follower, 1400);
    play.system.Run(after);
    play.system.PowerOff(leader);
    play.Await("an answer", [&] { return change.Answered(); });
    CHECK(change.status() == 200);
    play.system.Start(leader);
    play.Await("version 8 at all sidecars",
               [&] { return play.AllSidecars([](const SystemView& view) { return view.version() == 8; }); });
    CHECK(play.system.violations().empty());
  }
}

TEST_CASE("DRAIN: a departure is not acknowledged by a process that cannot tell sidecars of it") {
  Play play;
  play.Configure(3, 0);
  play.AwaitServers(2);
  // The shard that proves contact is lost, those that hold departures go on.
  play.system.tamper = [](WireMessage& message) {
    if (message.path != kExchangePath || message.is_response) return;
    auto request = Decode<ExchangeRequest>(message.body);
    std::erase_if(request->messages, [](const auto& one) { return one.shard == kConfigurationShard; });
    message.body = Encode(*request);
  };
  play.system.Run(1'100'000);
  std::vector<int> statuses;
  for (std::size_t i = 0; i < play.system.controls(); ++i)
    play.system.CallPublic(i, "DELETE", "/api/instances/i-leaves", "", 0,
                           [&](int status, const std::string&) { statuses.push_back(status); });
  play.system.Run(kSecond);
  CHECK(statuses == std::vector<int>(play.system.controls(), 503));
  play.system.tamper = nullptr;
  play.AwaitServers(1);
}

TEST_CASE("System: an acknowledged drain outlives the process that acknowledged it") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Play play(seed);
    play.Configure(3, 0);
    play.AwaitServers(2);
    const std::size_t taker = play.Follower();
    const auto heartbeat = [&](std::size_t at, const char* phase, int sequence,
                               std::function<void(int)> done) {
      const json body{{"backend", "s"},
                      {"address", "10.1.0.2:80"},
                      {"capacity", 4},
                      {"phase", phase},
                      {"sequence", sequence}};
      play.system.CallPublic(at, "PUT", "/api/instances/i-leaves", body.dump(), 0,
                             [done = std::move(done)](int status, const std::string&) { done(status); });
    };
    // It ends in the moment of its answer; a heartbeat from before the drain comes late to another one.
    int status = 0;
    heartbeat(taker, "draining", 1000, [&](int got) {
      status = got;
      play.system.Kill(taker);
    });
    REQUIRE(play.system.RunUntil([&] { return status != 0; }, kSecond));
    REQUIRE(status == 200);
    heartbeat((taker + 1) % 3, "ready", 999, [](int) {});
    play.system.Run(kSecond);
    CHECK(play.AllSidecars([](const SystemView& view) {
      return view.MakeDirectory()->Find("i-leaves")->phase == Phase::kDraining;
    }));
  }
}

// At many moments between the exchanges that the clock and the replicas begin.
TEST_CASE("System: a heartbeat at one process reaches the sidecars of all others within 100 ms") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Play play(seed);
    play.Configure(3, 0);
    play.AwaitServers(2);
    play.system.Run(static_cast<Micros>(seed) * VirtualSystem::kStep);
    for (std::size_t at = 0; at < play.system.controls(); ++at) {
      INFO("seed " << seed << ", process " << at);
      const std::string id = "i-new-" + std::to_string(at);
      const json body{{"backend", "s"}, {"address", "10.2.0.1:" + std::to_string(at)}, {"sequence", 1}};
      int status = 0;
      play.system.CallPublic(at, "PUT", "/api/instances/" + id, body.dump(), 0,
                             [&](int got, const std::string&) { status = got; });
      REQUIRE(play.system.RunUntil([&] { return status != 0; }, kSecond));
      play.system.Run(100'000);
      CHECK(play.AllSidecars(
          [&](const SystemView& view) { return view.MakeDirectory()->Find(id) != nullptr; }));
    }
  }
}

namespace {

// An exchange of control process 1 with one change, which another process has made.
ExchangeRequest ExchangeAbout(VirtualSystem& system, const std::string& id, Phase phase) {
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

// A peer that takes a restarted process for its earlier incarnation leaves out what that one knew. If the
// restarted process merged these changes, its version vector would hide the gap, and it would never learn of
// a drain in it.
TEST_CASE("System: changes relative to the version vector of an earlier incarnation are ignored") {
  VirtualSystem system(3, 1, 1);
  system.Run(kSecond);
  ControlCore& core = *system.control(0).core;
  ExchangeRequest request = ExchangeAbout(system, "i-1", Phase::kReady);
  request.receiver_incarnation = "incarnation before";
  const ExchangeReply refused = core.OnExchangeRequest(request, system.now());
  CHECK(refused.version_vector.count("another") == 0);
  request.receiver_incarnation = refused.incarnation;
  CHECK(core.OnExchangeRequest(request, system.now()).version_vector.at("another") == 5);
}

TEST_CASE("System: an exchange with changes names the receiver's incarnation") {
  Play play;
  int with_changes = 0;
  int unnamed = 0;
  play.system.tamper = [&](WireMessage& message) {
    if (message.path != kExchangePath || message.is_response) return;
    const ExchangeRequest request = Decode<ExchangeRequest>(message.body).value();
    if (request.changed_instances.empty()) return;
    ++with_changes;
    unnamed += request.receiver_incarnation.empty() ? 1 : 0;
  };
  play.Configure(3, 0);
  play.AwaitServers(2);
  CHECK(with_changes > 0);
  CHECK(unnamed == 0);
}

TEST_CASE(
    "System: an exchange without one of its fields is rejected, except those that earlier versions lack") {
  const wire::ExchangeRequest form;
  for (const auto* field : testing::FieldsOf(form)) {
    INFO(field->name());
    const std::set<std::string> of_later_versions{"source", "changed_for", "usage", "wants_usage"};
    const bool optional = of_later_versions.count(field->name()) > 0;
    const std::string part = testing::Without(form, field, Encode(ExchangeRequest()));
    CHECK(Decode<ExchangeRequest>(part).has_value() == optional);
  }
}

// Most exchanges carry heartbeats of the shards: last-seen lists in each would be most of their bytes.
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
  CHECK(with_lists <= pairs * kSeconds * 7);  // each 150 ms
  CHECK(with_lists >= pairs * kSeconds * 4);
  CHECK(replies > with_lists + pairs * kSeconds);
  for (std::size_t i = 0; i < system.sidecars(); ++i)
    CHECK(system.sidecar(i).view->MakeDirectory()->sidecars() == 2);
}

TEST_CASE("System: a server deregistered by the log stays so when a peer reports it as ready") {
  VirtualSystem system(3, 1, 1);
  system.Run(2 * kSecond);
  int status = 0;
  system.CallPublic(1, "DELETE", "/api/instances/i-1", "", 0,
                    [&](int got, const std::string&) { status = got; });
  REQUIRE(system.RunUntil([&] { return status == 200; }, 3 * kSecond));
  system.Run(kSecond);
  ControlCore& core = *system.control(0).core;
  REQUIRE(core.shards().Deregistered("i-1") == Phase::kDeregistered);  // and it has heard of no such server
  core.OnExchangeRequest(ExchangeAbout(system, "i-1", Phase::kReady), system.now());
  ExchangeRequest asking = ExchangeAbout(system, "i-1", Phase::kReady);
  asking.changed_instances.clear();
  const ExchangeReply reply = core.OnExchangeRequest(asking, system.now());
  REQUIRE(reply.changed_instances.size() == 1);
  CHECK(reply.changed_instances[0].phase == Phase::kDeregistered);
}

// A sidecar that asks again while servers have changed meanwhile was answered each time, as fast as it could
// ask.
TEST_CASE(
    "System: while servers keep changing, each of many sidecars gets one reply per notification interval") {
  constexpr std::size_t kSidecars = 80;             // a notification each 60 ms
  constexpr double kMostAnswers = 1000.0 / 60 + 1;  // a second
  VirtualSystem system(3, kSidecars, 1);
  system.Run(3 * kSecond);
  std::map<std::string, int> answers;
  system.tamper = [&](WireMessage& message) {
    if (message.path != kWatchPath || !message.is_response) return;
    if (const auto answer = Decode<WatchReply>(message.body))
      ++answers[std::to_string(answer->window_position)];
  };
  const Micros begin = system.now();
  for (int sequence = 1; system.now() < begin + 4 * kSecond; ++sequence) {
    // Each is another server, so that each is news.
    const std::string id = "i-" + std::to_string(sequence);
    const json body{{"backend", "s"}, {"address", "10.2.0.1:" + std::to_string(sequence)}, {"sequence", 1}};
    system.CallPublic(static_cast<std::size_t>(sequence) % 3, "PUT", "/api/instances/" + id, body.dump(), 0,
                      [](int, const std::string&) {});
    system.Run(VirtualSystem::kStep);
  }
  CHECK(answers.size() == kSidecars);
  for (const auto& [number, count] : answers) CHECK(count / 4.0 <= kMostAnswers);
  system.Run(kSecond / 5);
  for (std::size_t i = 0; i < system.sidecars(); ++i)
    CHECK(system.sidecar(i).view->MakeDirectory()->Find("i-200") != nullptr);
  CHECK(system.violations().empty());
}

// A sidecar may have dropped, because of another process, an instance that its version vector covers.
TEST_CASE(
    "System: a sidecar that comes from another process gets the complete instance list, whatever it knows") {
  Play play;
  play.Configure(3, 0);
  play.AwaitServers(2);
  play.system.Run(2 * kSecond);
  ControlCore& core = *play.system.control(0).core;
  std::optional<WatchReply> reply;
  WatchRequest request;
  request.node = "edge-2";
  const auto watch = [&] {
    reply.reset();
    core.Watch(request, play.system.now(), [&](const std::optional<WatchReply>& got) { reply = got; });
    REQUIRE(reply.has_value());
    CHECK(reply->complete);
    CHECK(reply->changed_instances.size() == 2);
  };
  watch();
  request.incarnation = "the incarnation of another process";
  request.version_vector = reply->version_vector;
  watch();
}

TEST_CASE("System: of two changes on one version through processes partitioned in turn exactly one wins") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Play play(seed);
    play.Configure(3, 0);
    const Operator one(play.system, 7, 3, 0);
    const Operator other(play.system, 8, 3, 1);
    play.system.Isolate(seed % 3);
    play.system.Run(static_cast<Micros>(seed) * 50'000);
    play.system.Heal();
    play.Await("both answers", [&] { return one.Answered() && other.Answered(); });
    CHECK(((one.status() == 200) != (other.status() == 200)));
    CHECK(one.status() + other.status() == 200 + 412);
  }
}

TEST_CASE("System: a process resumed from a suspension answers nothing stale") {
  Play play;
  play.Configure(3, 0);
  for (std::size_t i = 0; i < 3; ++i) {
    INFO("process " << i);
    const auto version = static_cast<std::int64_t>(4 + i);
    play.system.Freeze(i, 3 * kSecond);
    // A read that comes meanwhile is answered as it wakes.
    const Micros call_timeout = std::exchange(play.system.call_timeout, 5 * kSecond);
    int status = 0;
    std::string read;
    play.system.CallPublic(i, "GET", "/api/configuration", "", 0, [&](int got, const std::string& body) {
      status = got;
      read = body;
    });
    play.system.call_timeout = call_timeout;
    play.Configure(version, version - 1, i + 1);
    play.system.Run(4 * kSecond);
    CHECK(status != 0);
    CHECK((status != 200 || json::parse(read).at("version") == version));
  }
  CHECK(play.system.violations().empty());
}

}  // namespace violetwing
