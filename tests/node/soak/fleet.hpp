// The processes of a soak and their platform: starts them, signals them, starts them again, rewrites their
// settings files, probes the readiness of the edges and passes clients' connections to them.
#ifndef VIOLETWING_TESTS_NODE_SOAK_FLEET_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_FLEET_HPP_

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "common/http_client.hpp"
#include "node/soak/model_server.hpp"
#include "testing/node_process.hpp"

namespace violetwing::testing::soak {

inline constexpr std::chrono::milliseconds kGrace{8000};
/// `limits` of each process's settings file.
inline constexpr int kMemoryMb = 64;
inline constexpr int kMaxDescriptors = 600;

/// A process of the fleet and what the platform knows of it.
struct Machine {
  std::string name;
  std::string address;  ///< ingress of an edge, control_plane of a control process
  std::string readiness;
  nlohmann::json settings;
  std::unique_ptr<NodeProcess> process;
  std::optional<Clock::time_point> terminated_at;   ///< SIGTERM to the running process
  std::vector<Clock::time_point> all_terminations;  ///< every SIGTERM so far
  Clock::time_point restart_at;
  int missed_probes = 2;  ///< in a row
  bool killed = false;    ///< SIGKILL after the grace period
  int rewrites_under_way = 0;
};

/// Must be used on the thread of `io` only, and outlive it.
class Fleet {
 public:
  Fleet(boost::asio::io_context& io, int controls, int edges, std::uint64_t seed)
      : io_(io), random_(seed), timer_(io) {
    char name[] = "/tmp/violetwing-soak-XXXXXX";
    directory_ = mkdtemp(name);
    // An address of its own for each process, as other soaks may run beside this one.
    network_ =
        "127." + std::to_string(16 + getpid() / 250 % 200) + "." + std::to_string(getpid() % 250) + ".";
    for (int i = 0; i < controls; ++i)
      control_addresses_.push_back(network_ + std::to_string(1 + i) + ":" + std::to_string(kControlPort));
    for (int i = 0; i < controls; ++i) AddControl(i);
    for (int i = 0; i < edges; ++i) AddEdge(i);
    for (const auto* group : {&controls_, &edges_})
      for (const auto& machine : *group) StartProcess(*machine, /*bootstrap=*/true);
    Poll();
  }
  ~Fleet() {
    controls_.clear();
    edges_.clear();
    std::error_code ignored;
    if (failures_.empty() && std::getenv("SOAK_KEEP") == nullptr)
      std::filesystem::remove_all(directory_, ignored);
  }

  const std::vector<std::string>& control_addresses() const { return control_addresses_; }
  std::vector<std::unique_ptr<Machine>>& edges() { return edges_; }
  std::vector<std::unique_ptr<Machine>>& controls() { return controls_; }
  std::string ServerAddress(int i) const { return network_ + std::to_string(200 + i) + ":8080"; }
  /// Ends that no signal of the platform has asked for, and wrong exit statuses.
  const std::vector<std::string>& failures() const { return failures_; }
  const std::filesystem::path& directory() const { return directory_; }

  /// Sends SIGTERM, unless the process is about to end already.
  void Terminate(Machine& machine) {
    if (machine.terminated_at || machine.process->id() == 0) return;
    machine.terminated_at = Clock::now();
    machine.all_terminations.push_back(*machine.terminated_at);
    machine.process->Signal(SIGTERM);
  }

  /// Rewrites the settings file in two parts and announces it with SIGHUP, which may come in between.
  void ChangeSettings(Machine& machine) {
    nlohmann::json& seeds = machine.settings["seed_nodes"];
    std::shuffle(seeds.begin(), seeds.end(), random_);
    const std::string text = machine.settings.dump();
    WriteSettings(machine, text.substr(0, text.size() / 2));
    ++machine.rewrites_under_way;
    if (random_() % 2 == 0) machine.process->Signal(SIGHUP);
    auto rest = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(random_() % 30));
    rest->async_wait([this, rest, &machine](boost::system::error_code) {
      --machine.rewrites_under_way;
      WriteSettings(machine, machine.settings.dump());
      machine.process->Signal(SIGHUP);
    });
  }

  /// The edge that a new connection goes to: any that is in by its probes, or any if none is.
  std::pair<std::size_t, std::string> PickEdge() {
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < edges_.size(); ++i)
      if (edges_[i]->missed_probes < 2) ready.push_back(i);
    // As where fewer than half are in: then the platform uses all.
    const bool use_all = ready.size() * 2 < edges_.size();
    const std::size_t edge = use_all ? random_() % edges_.size() : ready[random_() % ready.size()];
    return {edge, edges_[edge]->address};
  }

  /// The address of a machine for calls between processes.
  static std::string InternalAddress(const Machine& machine) {
    return machine.settings["ip"].get<std::string>() + ":" + std::to_string(kInternalPort);
  }

  std::size_t ready_edges() const {
    std::size_t count = 0;
    for (const auto& edge : edges_) count += edge->missed_probes == 0 ? 1 : 0;
    return count;
  }

 private:
  static constexpr int kControlPort = 8146;
  static constexpr int kInternalPort = 7660;

  nlohmann::json CommonSettings(const std::string& name, const std::string& ip) const {
    return {{"node_name", name},
            {"ip", ip},
            {"zone", "here"},
            {"seed_nodes", control_addresses_},
            {"ephemeral_ports", {kInternalPort, kInternalPort + 15}},
            {"heartbeat_ms", 500},
            {"fault_tolerance", {{"nodes", 1}}},
            {"limits", {{"memory_mb", kMemoryMb}, {"max_fds", kMaxDescriptors}}},
            {"timeouts", {{"grace_s", static_cast<double>(kGrace.count()) / 1000}, {"lease_ms", 500}}}};
  }
  void AddControl(int i) {
    auto machine = std::make_unique<Machine>();
    machine->name = "control-" + std::to_string(i);
    machine->address = control_addresses_[static_cast<std::size_t>(i)];
    machine->settings = CommonSettings(machine->name, network_ + std::to_string(1 + i));
    machine->settings["listeners_addr"] = {{"control_plane", machine->address}};
    controls_.push_back(std::move(machine));
  }
  void AddEdge(int i) {
    auto machine = std::make_unique<Machine>();
    const std::string ip = network_ + std::to_string(10 + i);
    machine->name = "edge-" + std::to_string(i);
    machine->address = ip + ":8144";
    machine->readiness = ip + ":8140";
    machine->settings = CommonSettings(machine->name, ip);
    machine->settings["listeners_addr"] = {{"ingress", machine->address}, {"readiness", machine->readiness}};
    edges_.push_back(std::move(machine));
  }

  static void WriteSettings(const Machine& machine, const std::string& text) {
    std::ofstream(machine.process->settings_file(), std::ios::trunc) << text;
  }

  void StartProcess(Machine& machine, bool bootstrap) {
    machine.settings["bootstrap"] = bootstrap;
    const std::string role = machine.readiness.empty() ? "control" : "edge";
    if (machine.process == nullptr) {
      machine.process = std::make_unique<NodeProcess>(directory_ / machine.name, role, machine.settings,
                                                      NodeProcess::Begin::kStopped);
      machine.settings["data_dir"] = machine.process->data_dir();
    }
    if (machine.rewrites_under_way == 0) WriteSettings(machine, machine.settings.dump());
    machine.process->StartWithLog();
    machine.terminated_at.reset();
    machine.killed = false;
  }

  // Every 10 ms: ends, restarts, kills after the grace period; every second: readiness.
  void Poll() {
    const Clock::time_point now = Clock::now();
    for (const auto* group : {&controls_, &edges_})
      for (const auto& machine : *group) PollMachine(*machine, now);
    if (now >= next_probes_at_) {
      next_probes_at_ = now + std::chrono::seconds(1);
      for (const auto& edge : edges_) Probe(*edge);
    }
    timer_.expires_after(std::chrono::milliseconds(10));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) Poll();
    });
  }

  void PollMachine(Machine& machine, Clock::time_point now) {
    if (machine.process->id() == 0) {
      if (now >= machine.restart_at) StartProcess(machine, false);
      return;
    }
    if (machine.terminated_at && now >= *machine.terminated_at + kGrace && !machine.killed) {
      machine.killed = true;
      failures_.push_back(machine.name + " still runs at the end of its grace period");
      machine.process->Signal(SIGKILL);
    }
    const std::optional<int> ended = machine.process->TakeEnd();
    if (!ended) return;
    machine.restart_at = now + std::chrono::milliseconds(random_() % 400);
    const bool asked = machine.terminated_at && (*ended == 0 || machine.killed);
    if (!asked)
      failures_.push_back(machine.name + " ended " + (machine.terminated_at ? "after SIGTERM" : "by itself") +
                          (WIFSIGNALED(*ended) ? ", signal " + std::to_string(WTERMSIG(*ended))
                                               : ", status " + std::to_string(WEXITSTATUS(*ended))));
  }

  void Probe(Machine& edge) {
    HttpExchange::Call call;
    call.to = *ParseEndpoint(edge.readiness);
    call.target = "/api/readyz";
    HttpExchange::Events events;
    events.on_end = [&edge](int status, const std::string&) {
      edge.missed_probes = status == 200 ? 0 : edge.missed_probes + 1;
    };
    HttpExchange::Start(io_, std::move(call), std::move(events));
  }

  boost::asio::io_context& io_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::filesystem::path directory_;
  std::string network_;
  std::vector<std::string> control_addresses_;
  std::vector<std::unique_ptr<Machine>> controls_;
  std::vector<std::unique_ptr<Machine>> edges_;
  std::vector<std::string> failures_;
  Clock::time_point next_probes_at_;
};

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_FLEET_HPP_
