// A soak with real processes: edges and control processes are stopped, started, reloaded and reconfigured in
// series that overlap, while clients keep using their connections, and others do not behave. SOAK_SEED,
// SOAK_SECONDS, SOAK_EDGES, SOAK_CLIENTS and SOAK_CROWD (clients that do not behave) set its size.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "node/soak/client.hpp"
#include "node/soak/fleet.hpp"
#include "node/soak/judge.hpp"
#include "node/soak/misbehaving_crowd.hpp"
#include "node/soak/model_server.hpp"
#include "sidecar/scripted_peers.hpp"

namespace violetwing::testing::soak {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using ErrorCode = boost::system::error_code;
using violetwing::sidecar::testing::RunFor;
using violetwing::sidecar::testing::RunUntil;
using namespace std::chrono_literals;

constexpr int kControls = 3;
constexpr int kServers = 3;

std::int64_t FromEnvironment(const char* name, std::int64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoll(text);
}

json Document(std::int64_t version) {
  const auto route = [version](const char* name, const std::string& path, std::int64_t timeout_ms,
                               int target_ms) {
    return json{
        {"name", name},        {"hostname", "a.example"},  {"path_prefix", path},
        {"type", "streaming"}, {"timeout_ms", timeout_ms}, {"target_latency_ms", target_ms + version % 2},
        {"gap_aim_ms", 400},   {"backend", "llm"},         {"max_attempts", 2}};
  };
  json models = json::array();
  for (const char* model : {"m1", "m2", "m3", "m4"})
    models.push_back({{"name", model},
                      {"weights_mb", 65000},
                      {"load_time_s", 1.9},
                      {"adapters", 0},
                      {"adapter_size_mb", 12}});
  return {{"version", version},
          {"routes", {route("red", "/red/", 12000, 4000), route("short", "/short/", 5000, 800)}},
          {"backends",
           {{{"name", "llm"},
             {"health_check", "/healthz"},
             {"max_connections", 370},
             {"runtime",
              {{"capacity", 64},
               {"kv_cache_tokens", 233500},
               {"models", models},
               {"weights_mb", 140000},
               {"max_adapters", 8},
               {"loads_per_s", 2.8}}}}}},
          {"limits", {{"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

// The operator: sends each change to the control processes in turn until one accepts it.
class Operator {
 public:
  Operator(boost::asio::io_context& io, const std::vector<std::string>& controls)
      : io_(io), controls_(controls), retry_timer_(io) {}
  void Change() {
    if (!std::exchange(busy_, true)) Send();
  }
  std::int64_t accepted() const { return accepted_; }

 private:
  void Send() {
    next_ = (next_ + 1) % controls_.size();
    stream_ = std::make_unique<boost::beast::tcp_stream>(io_);
    buffer_.clear();
    response_ = {};
    request_ = {http::verb::put, "/api/configuration", 11};
    request_.set("Host", "a");
    request_.set("If-Match", std::to_string(accepted_));
    request_.body() = Document(accepted_ + 1).dump();
    request_.prepare_payload();
    stream_->expires_after(4s);
    stream_->async_connect(*ParseEndpoint(controls_[next_]), [this](ErrorCode error) {
      if (error) return Retry();
      http::async_write(*stream_, request_, [this](ErrorCode write_error, std::size_t) {
        if (write_error) return Retry();
        http::async_read(*stream_, buffer_, response_,
                         [this](ErrorCode read_error, std::size_t) { OnResponse(read_error); });
      });
    });
  }
  void OnResponse(ErrorCode error) {
    if (error || response_.result() != http::status::ok) return Retry();
    ++accepted_;
    busy_ = false;
  }
  void Retry() {
    retry_timer_.expires_after(100ms);
    retry_timer_.async_wait([this](ErrorCode error) {
      if (!error) Send();
    });
  }

  boost::asio::io_context& io_;
  const std::vector<std::string> controls_;
  boost::asio::steady_timer retry_timer_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::size_t next_ = 0;
  std::int64_t accepted_ = 0;
  bool busy_ = false;
};

// How the servers of a soak answer clients.
enum class Servers { kValid, kSomeInvalid };

class Soak {
 public:
  Soak(std::uint64_t seed, int edges, int clients, int crowd, Servers servers)
      : random_(seed),
        fleet_(io_, kControls, edges, seed),
        operator_(io_, fleet_.control_addresses()),
        crowd_size_(crowd) {
    constexpr double kInvalidShare = 0.25;
    for (int i = 0; i < kServers; ++i) AddServer(i, servers == Servers::kSomeInvalid ? kInvalidShare : 0);
    const std::vector<RequestKind> kinds{{"/red/", {"m1", "m1", "m2", "m3", "m4"}, 12s, 4s},
                                         {"/red/", {"m1"}, 12s, 12s},
                                         {"/short/", {"m1", "m2"}, 5s, 2s}};
    for (int i = 0; i < clients; ++i)
      clients_.push_back(std::make_unique<Client>(
          io_, "c" + std::to_string(i), seed * 1000 + static_cast<std::uint64_t>(i), kinds,
          [this] { return fleet_.PickEdge(); }, outcomes_));
  }

  void Run(std::chrono::seconds length) {
    operator_.Change();
    REQUIRE(RunUntil(
        io_, [&] { return operator_.accepted() > 0 && fleet_.ready_edges() == fleet_.edges().size(); }));
    for (const auto& client : clients_) client->Start();
    monitor_ = std::make_unique<UsageMonitor>(io_, fleet_);
    const MisbehavingCrowd crowd(CrowdTargets(), crowd_size_, random_());
    RunFor(io_, 3s);
    const Clock::time_point end = Clock::now() + length;
    while (Clock::now() < end) {
      Disrupt();
      RunFor(io_, std::chrono::milliseconds(random_() % 1500));
    }
    for (const auto& client : clients_) client->Stop();
    RunUntil(
        io_,
        [&] {
          return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->idle(); });
        },
        15s);
  }

  std::vector<std::string> Losses() const {
    std::vector<std::string> losses;
    for (const Outcome& outcome : outcomes_)
      if (const auto loss = FindLoss(outcome, *edges()[outcome.edge], runs_)) losses.push_back(*loss);
    return losses;
  }
  std::vector<std::string> InvalidAnswers() const {
    std::vector<std::string> invalid;
    for (const Outcome& outcome : outcomes_)
      if (const auto finding = FindInvalidAnswer(outcome)) invalid.push_back(*finding);
    return invalid;
  }
  std::size_t CountAnswers(int status) const {
    return static_cast<std::size_t>(
        std::count_if(outcomes_.begin(), outcomes_.end(),
                      [&](const Outcome& outcome) { return outcome.complete && outcome.status == status; }));
  }
  Fleet& fleet() { return fleet_; }
  std::vector<std::string> Excesses() const { return monitor_->Excesses(); }
  std::string Summary() const {
    std::size_t complete = 0;
    for (const Outcome& outcome : outcomes_) complete += outcome.complete ? 1 : 0;
    return std::to_string(outcomes_.size()) + " requests, " + std::to_string(complete) + " answered, " +
           std::to_string(CountAnswers(200)) + " served, " + std::to_string(CountAnswers(502)) +
           " with 502, " + std::to_string(stops_) + " stops, at most " +
           std::to_string(monitor_->peak().memory_mb) + " MB and " +
           std::to_string(monitor_->peak().descriptors) + " descriptors";
  }

 private:
  const std::vector<std::unique_ptr<Machine>>& edges() const { return const_cast<Fleet&>(fleet_).edges(); }

  std::vector<MisbehavingCrowd::Target> CrowdTargets() {
    std::vector<MisbehavingCrowd::Target> targets;
    for (std::size_t i = 0; i < fleet_.edges().size(); ++i) {
      const Machine& edge = *fleet_.edges()[i];
      const Machine& control = *fleet_.controls()[i % fleet_.controls().size()];
      targets.push_back({edge.address, edge.readiness, control.address, Fleet::InternalAddress(control)});
    }
    return targets;
  }

  void AddServer(int i, double invalid_share) {
    ModelServer::Settings settings;
    settings.id = "i-" + std::to_string(i);
    settings.service = "llm";
    settings.address = fleet_.ServerAddress(i);
    settings.controls = fleet_.control_addresses();
    settings.models = {"m1"};
    settings.load_time = 1900ms;
    settings.invalid_share = invalid_share;
    servers_.push_back(std::make_unique<ModelServer>(io_, settings, runs_));
  }

  Machine& Draw(std::vector<std::unique_ptr<Machine>>& machines) {
    return *machines[random_() % machines.size()];
  }

  // One piece of planned work, or several at once.
  void Disrupt() {
    const std::uint64_t work = random_() % 8;
    if (work <= 2) Stop(Draw(fleet_.edges()));
    if (work == 3) Stop(Draw(fleet_.controls()));
    if (work == 4) operator_.Change();
    if (work == 5 || work == 2) fleet_.ChangeSettings(Draw(fleet_.edges()));
    if (work == 6) fleet_.ChangeSettings(Draw(fleet_.controls()));
    if (work == 7)
      for (const auto& edge : fleet_.edges())
        if (random_() % 2 == 0) fleet_.ChangeSettings(*edge);
  }
  // At most one control process, and half of the edges, are stopping at a time.
  void Stop(Machine& machine) {
    const bool is_edge = !machine.readiness.empty();
    auto& group = is_edge ? fleet_.edges() : fleet_.controls();
    const auto stopping = static_cast<std::size_t>(std::count_if(
        group.begin(), group.end(), [](const auto& m) { return m->terminated_at.has_value(); }));
    if (stopping >= (is_edge ? (group.size() + 1) / 2 : 1)) return;
    fleet_.Terminate(machine);
    ++stops_;
    if (random_() % 3 == 0) machine.process->Signal(random_() % 2 == 0 ? SIGTERM : SIGHUP);
  }

  boost::asio::io_context io_;
  std::mt19937_64 random_;
  Runs runs_;
  std::vector<Outcome> outcomes_;
  Fleet fleet_;
  Operator operator_;
  std::vector<std::unique_ptr<ModelServer>> servers_;
  std::vector<std::unique_ptr<Client>> clients_;
  const int crowd_size_;
  std::unique_ptr<UsageMonitor> monitor_;
  int stops_ = 0;
};

void Report(const char* kind, const std::vector<std::string>& findings) {
  for (const std::string& finding : findings) {
    UNSCOPED_INFO(finding);
    std::cout << "  " << kind << ": " << finding << "\n";
  }
}

// Plays a soak of the size that the environment sets.
std::unique_ptr<Soak> Play(Servers servers = Servers::kValid) {
  const auto seed = static_cast<std::uint64_t>(FromEnvironment("SOAK_SEED", 1));
  auto soak = std::make_unique<Soak>(seed, static_cast<int>(FromEnvironment("SOAK_EDGES", 3)),
                                     static_cast<int>(FromEnvironment("SOAK_CLIENTS", 40)),
                                     static_cast<int>(FromEnvironment("SOAK_CROWD", 30)), servers);
  soak->Run(std::chrono::seconds(FromEnvironment("SOAK_SECONDS", 40)));
  std::cout << "soak seed " << seed << ": " << soak->Summary() << "\n";
  Report("lost", soak->Losses());
  Report("failed", soak->fleet().failures());
  Report("exceeded", soak->Excesses());
  Report("invalid", soak->InvalidAnswers());
  return soak;
}

}  // namespace

TEST_CASE("LOST: no request is lost while processes stop, start and reload", "[soak]") {
  CHECK(Play()->Losses().empty());
}

TEST_CASE("FAULT: no process ends by itself while processes stop, start and reload", "[soak]") {
  CHECK(Play()->fleet().failures().empty());
}

TEST_CASE("MIXED: no invalid response of a server reaches a client while processes stop, start and reload",
          "[soak]") {
  const auto soak = Play(Servers::kSomeInvalid);
  CHECK(soak->InvalidAnswers().empty());
  CHECK(soak->CountAnswers(502) > 0);
}

// One that holds more is ended by its platform.
TEST_CASE("FAULT: no process holds more than its limits while clients do not behave", "[soak]") {
  CHECK(Play()->Excesses().empty());
}

}  // namespace violetwing::testing::soak
