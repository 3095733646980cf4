// The sidecars that the control processes have seen recently, and the position of each among them. Control
// processes that have seen the same sidecars compute the same positions. Contains no clock, socket, file or
// thread.
#ifndef VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
#define VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_

#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/gossip/exchange_message.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// Sidecars by name, with the time of their last watch call to any control process. Times are in microseconds
/// of one steady clock.
class SidecarRegistry {
 public:
  /// Position of a sidecar's window of servers among the windows of all live sidecars.
  struct WindowPosition {
    int index = 0;  ///< from 0, in the order of sidecar names
    int count = 1;  ///< number of live sidecars, at least 1
  };

  /// Records a watch call of a sidecar to this process. `address`: where the sidecar receives load reports
  /// from other sidecars; may be empty.
  void OnWatch(const std::string& name, const std::string& address, Micros now);
  /// Merges the time of a watch call to another control process.
  void MergeLastSeen(const SidecarLastSeen& seen, Micros now);

  /// Returns the number of live sidecars, at least 1.
  int Count(Micros now) const { return WindowPositionOf({}, now).count; }
  /// Returns the position of a sidecar; index 0 if it is not live.
  WindowPosition WindowPositionOf(const std::string& name, Micros now) const;
  /// Returns the sidecars with the nearest positions on both sides, on a ring of all positions.
  Neighbors NeighborsOf(const std::string& name, Micros now) const;
  /// Returns the sidecars whose last watch call this process received after `since`.
  std::vector<SidecarLastSeen> LastSeenSince(Micros since, Micros now) const;

 private:
  struct Sidecar {
    std::string address;
    Micros last_seen_at = 0;   // time of the last watch at any control process
    Micros last_watch_at = 0;  // time of the last watch at this process; 0: never
  };

  static bool IsLive(const Sidecar& sidecar, Micros now);

  std::map<std::string, Sidecar> sidecars_;  // by name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
