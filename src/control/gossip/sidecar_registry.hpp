// The sidecars that the control processes have seen lately, and the position of each among them. Control
// processes that have seen the same sidecars give the same positions. A core: it holds no clock, socket, file
// or thread.
#ifndef VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
#define VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_

#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/gossip/exchange_message.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// Sidecars by name, with the time of their last watch at any control process. Times are in microseconds of
/// one steady clock.
class SidecarRegistry {
 public:
  /// Where a sidecar's window lies among those of all live sidecars.
  struct WindowPosition {
    int index = 0;  ///< from 0, by name
    int count = 1;  ///< of the live sidecars, at least 1
  };

  /// This process has received a watch of the sidecar. `address`: where the sidecar receives load reports of
  /// other sidecars, empty for none.
  void OnWatch(const std::string& name, const std::string& address, Micros now);
  /// Another control process has received a watch.
  void MergeLastSeen(const SidecarLastSeen& seen, Micros now);

  /// The number of live sidecars, at least 1.
  int Count(Micros now) const { return WindowPositionOf({}, now).count; }
  WindowPosition WindowPositionOf(const std::string& name, Micros now) const;
  /// The sidecars whose positions are nearest on both sides, where the last one is next to the first.
  Neighbors NeighborsOf(const std::string& name, Micros now) const;
  /// The sidecars whose watch this process itself has received after `since`.
  std::vector<SidecarLastSeen> LastSeenSince(Micros since, Micros now) const;

 private:
  struct Sidecar {
    std::string address;
    Micros last_seen_at = 0;   // at any control process
    Micros last_watch_at = 0;  // at this one; 0: never
  };

  static bool IsLive(const Sidecar& sidecar, Micros now);

  std::map<std::string, Sidecar> sidecars_;  // by name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
