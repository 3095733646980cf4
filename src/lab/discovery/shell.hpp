// The lab's scripted discovery: lists and watches in the platform's protocol, an address for each sidecar,
// and the faults of a scenario. Records what it has told to whom.
#ifndef VIOLETWING_LAB_DISCOVERY_SHELL_HPP_
#define VIOLETWING_LAB_DISCOVERY_SHELL_HPP_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/discovery/core.hpp"
#include "lab/door.hpp"

namespace violetwing::lab {

class DiscoverySession;

class DiscoveryShell {
 public:
  // How an entry is written for a sidecar, as its addresses are its own.
  using Writer = std::function<nlohmann::ordered_json(int sidecar, const Entry& entry)>;

  DiscoveryShell(asio::io_context& io, const Clock& clock, const Scenario& scenario, Records& records,
                 Writer writer, std::function<void(Door::State)> on_door);
  ~DiscoveryShell();
  DiscoveryShell(const DiscoveryShell&) = delete;
  DiscoveryShell& operator=(const DiscoveryShell&) = delete;

  void Put(const Entry& entry);
  void Up(bool up);                  // down: watches end, calls are refused
  void Overbooked(bool overbooked);  // watches end, calls get 503
  void Stale(bool stale);            // nothing new is told until it ends
  void BeginAgain();
  // New addresses; the old ones take nothing new, and close what they have after `keep`.
  void Move(Micros keep);

  const Tcp::endpoint& address(int sidecar) const {
    return doors_[static_cast<std::size_t>(sidecar)]->address();
  }
  nlohmann::ordered_json Text(int sidecar, const DiscoveryCore::Answer& answer) const;
  const DiscoveryCore& core() const { return core_; }

 private:
  friend class DiscoverySession;
  using Doors = std::vector<std::unique_ptr<Door>>;

  Doors MakeDoors();
  void SetDoors();
  void EndAll();
  void TellAll();

  asio::io_context& io_;
  const Clock& clock_;
  const Scenario& scenario_;
  Records& records_;
  Writer writer_;
  std::function<void(Door::State)> on_door_;
  DiscoveryCore core_;
  DiscoveryCore told_;  // as it was when it went stale
  bool up_ = false;
  bool overbooked_ = false;
  bool stale_ = false;
  std::set<std::shared_ptr<DiscoverySession>> sessions_;
  Doors doors_;
  std::vector<Doors> old_doors_;
  std::vector<std::unique_ptr<asio::steady_timer>> timers_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_DISCOVERY_SHELL_HPP_
