// Scale run: three real control processes before hollow sidecars and hollow servers, many in this one
// process. A hollow sidecar is the real link to the control plane without requests; a hollow server only
// sends heartbeats. Prints what the control processes spend at each size.
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "common/http_client.hpp"
#include "dataplane/control_link.hpp"
#include "node/node_process.hpp"

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::steady_clock;
using violetwing::HttpExchange;
namespace fs = std::filesystem;

constexpr int kControls = 3;
constexpr auto kHeartbeat = 1200ms;
constexpr auto kSettle = 5s;
constexpr auto kMeasure = 10s;

struct Spent {
  double cpu_s = 0;
  double peak_mb = 0;
};

Spent SpentBy(pid_t id) {
  Spent spent;
  std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
  std::string line;
  std::getline(stat, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  spent.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  while (std::getline(status, line))
    if (line.rfind("VmHWM:", 0) == 0) spent.peak_mb = std::atof(line.c_str() + 6) / 1024;
  return spent;
}

class HollowRun {
 public:
  HollowRun(int sidecars, int servers) : sidecars_(sidecars), servers_(servers) {
    char name[] = "/tmp/violetwing-hollow-XXXXXX";
    folder_ = mkdtemp(name);
    base_ = 20000 + getpid() * 25 % 20000;
    for (int i = 0; i < kControls; ++i) controls_.push_back(Ip(i) + ":" + std::to_string(base_));
  }
  ~HollowRun() {
    processes_.clear();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }

  void Play() {
    for (int i = 0; i < kControls; ++i) {
      json settings{{"node_name", "control-" + std::to_string(i)},
                    {"ip", Ip(i)},
                    {"zone", "here"},
                    {"seed_nodes", controls_},
                    {"bootstrap", true},
                    {"ephemeral_ports", {base_ + 1, base_ + 9}},
                    {"heartbeat_ms", 1200},
                    {"listeners_addr", {{"control_plane", controls_[static_cast<std::size_t>(i)]}}}};
      processes_.push_back(std::make_unique<violetwing::testing::NodeProcess>(folder_ / std::to_string(i),
                                                                              "control", settings));
    }
    for (int i = 0; i < sidecars_; ++i) {
      violetwing::NodeSettings settings;
      settings.node_name = "edge-" + std::to_string(i);
      settings.zone = "there";
      settings.internal_port = base_ + 1;
      settings.seeds = controls_;
      links_.push_back(
          std::make_unique<violetwing::ControlLink>(io_, settings, [](const violetwing::DirectoryPtr&) {}));
      links_.back()->Start();
    }
    for (int i = 0; i < servers_; ++i) Beat(i, 1, kHeartbeat * i / servers_);
    io_.run_for(kSettle);
    std::vector<Spent> before;
    for (const auto& process : processes_) before.push_back(SpentBy(process->id()));
    acknowledged_ = 0;
    io_.run_for(kMeasure);
    double cpu = 0;
    double peak = 0;
    double busiest = 0;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const Spent now = SpentBy(processes_[i]->id());
      const double share = (now.cpu_s - before[i].cpu_s) / std::chrono::duration<double>(kMeasure).count();
      cpu += share;
      busiest = std::max(busiest, share);
      peak = std::max(peak, now.peak_mb);
    }
    std::printf("%8d %8d %10.3f %10.3f %10.1f %12.1f\n", sidecars_, servers_, cpu, busiest, peak,
                acknowledged_ / std::chrono::duration<double>(kMeasure).count());
    for (const auto& link : links_) link->Stop();
  }

 private:
  static std::string Ip(int i) { return "127.0.8." + std::to_string(11 + i); }

  void Beat(int server, int sequence, steady_clock::duration wait) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, wait);
    timer->async_wait([this, server, sequence, timer](const boost::system::error_code& error) {
      if (error) return;
      HttpExchange::Call call;
      call.to = *violetwing::ParseEndpoint(controls_[static_cast<std::size_t>(server % kControls)]);
      call.method = "PUT";
      call.target = "/api/instances/i-" + std::to_string(server);
      call.body = json{
          {"backend", "s"},
          {"address", "10.0." + std::to_string(server / 250) + "." + std::to_string(server % 250) + ":80"},
          {"capacity", 64},
          {"phase", "ready"},
          {"sequence",
           sequence}}.dump();
      HttpExchange::Start(
          io_, call, {nullptr, [this](int status, const std::string&) { acknowledged_ += status == 200; }});
      Beat(server, sequence + 1, kHeartbeat);
    });
  }

  const int sidecars_;
  const int servers_;
  boost::asio::io_context io_;
  fs::path folder_;
  int base_ = 0;
  std::vector<std::string> controls_;
  std::vector<std::unique_ptr<violetwing::testing::NodeProcess>> processes_;
  std::vector<std::unique_ptr<violetwing::ControlLink>> links_;
  double acknowledged_ = 0;
};

}  // namespace

int main() {
  std::printf("%8s %8s %10s %10s %10s %12s\n", "sidecars", "servers", "cores", "busiest", "peak MB",
              "heartbeats/s");
  for (const int size : {1, 3, 10}) HollowRun(34 * size, 61 * size).Play();
}
