// The sidecars of a run: real processes with a configuration of their own, started, signalled, upgraded and
// sampled.
#ifndef VIOLETWING_LAB_SIDECARS_HPP_
#define VIOLETWING_LAB_SIDECARS_HPP_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/door.hpp"
#include "lab/journal.hpp"
#include "lab/process/shell.hpp"
#include "lab/world.hpp"

namespace violetwing::lab {

// The settings of a sidecar (WIRE, "SETTINGS") that the scenario's deployment states.
nlohmann::json SettingsOf(const Scenario& scenario, const Plan& plan, int sidecar);

struct SidecarWorld : World {
  Journal& journal;
  std::string program;    // the sidecar to be played
  std::string directory;  // for configurations and TMPDIR
  // The list that a sidecar is given at its start, in discovery's form.
  std::function<nlohmann::ordered_json(int sidecar)> known;
  // Where it asks, the first first; the others stand in its configuration as further ones.
  std::function<std::vector<Tcp::endpoint>(int sidecar)> discovery;
};

class Sidecars {
 public:
  explicit Sidecars(SidecarWorld world);
  ~Sidecars();
  Sidecars(const Sidecars&) = delete;
  Sidecars& operator=(const Sidecars&) = delete;

  // Throws std::system_error if a process cannot be started.
  void StartAll(std::function<void()> on_all_ready);
  // Begins or ends the fault of this index.
  void Apply(int fault, bool begin);
  // Discovery is elsewhere: writes it down and sends SIGHUP.
  void Moved();
  void Sample();
  // SIGTERM to all; `on_end` once none is left, at the latest after the longest a sidecar may take to answer
  // what it has.
  void EndAll(std::function<void()> on_end);

  const Tcp::endpoint& address(int sidecar) const {
    return hosts_[static_cast<std::size_t>(sidecar)]->address;
  }
  int ready() const;

 private:
  struct Process {
    std::size_t record = 0;
    std::shared_ptr<Child> child;
    std::unique_ptr<Door> admin;  // keeps the address; the sidecar listens there
    bool reported = false;        // a sanitizer said something
  };
  // What is the sidecar's from start to start.
  struct Host {
    Tcp::endpoint address;
    std::unique_ptr<Door> door;             // keeps the address, where the sidecar listens by itself
    std::unique_ptr<Tcp::acceptor> passed;  // or the lab listens, and passes it
    std::vector<std::shared_ptr<Process>> processes;  // the last is the newest
    std::vector<Tcp::socket> strangers;
    std::size_t strangers_wanted = 0;
    bool strangers_change = false;  // the next step is posted
    int starts = 0;
  };

  Host& Get(int sidecar) { return *hosts_[static_cast<std::size_t>(sidecar)]; }
  std::string Directory(int sidecar) const;
  void WriteConfig(int sidecar);
  std::shared_ptr<Process> Start(int sidecar);
  void AwaitReady(Micros until, std::function<void()> done);
  void StartAnew(int sidecar);
  void StartOnceEnded(int sidecar);
  void Poll(int sidecar, const std::shared_ptr<Process>& process, const Tcp::endpoint& at,
            const std::function<void()>& on_ready);
  void Kill(int sidecar);
  void Terminate(const Process& process);
  void Upgrade(int sidecar);
  void OrderZone(int sidecar, const Fault& spec);
  void ChangeStrangers(int sidecar);
  void OnEnd(const std::shared_ptr<Process>& process, const std::string& how, bool cleanly);
  ProcessRecord& Record(const Process& process) { return world_.records.processes[process.record]; }

  SidecarWorld world_;
  Children children_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::function<void()> on_end_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SIDECARS_HPP_
