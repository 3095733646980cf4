// Picks the control process that a sidecar watches: one in its own zone if any is known, else another known
// one, else a seed; after a failure, the next one. Each sidecar orders the control processes by a hash of its
// name and their address (rendezvous hashing), which spreads the sidecars over them. Some time after a
// failure it fails back to its own zone, as traffic between zones is expensive. Sans-I/O: holds no clock,
// socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "messages/control_node.hpp"

namespace violetwing {

/// `known` is always the list of control processes from the latest watch reply. `now` is on the steady clock.
class ControlProcessSelector {
 public:
  /// `zone` and `name` are those of the sidecar; the unique name seeds its order of preference.
  ControlProcessSelector(std::string zone, const std::string& name)
      : zone_(std::move(zone)), preference_seed_(Hash(0, name)), random_(1, name) {}

  /// Sets the internal addresses of the seed nodes.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// Internal address of the control process to call; empty while none is known.
  const std::string& Current(const std::vector<ControlNode>& known);
  /// Records a response of the current control process; may fail back to the own zone.
  void OnAnswered(const std::vector<ControlNode>& known, Micros now);
  /// Records a failure of the current control process and switches to the next one.
  void OnFailed(const std::vector<ControlNode>& known, Micros now);

 private:
  std::vector<std::string> Candidates(const std::vector<ControlNode>& known) const;
  void SelectNext(const std::vector<ControlNode>& known);

  std::vector<std::string> AddressesInOwnZone(const std::vector<ControlNode>& known) const;
  // Sorts by this sidecar's order of preference.
  void SortByPreference(std::vector<std::string>& addresses) const;

  const std::string zone_;
  const std::uint64_t preference_seed_;  // seed for hashing addresses
  Random random_;
  std::vector<std::string> seeds_;
  std::vector<std::string> failed_;  // since the last response of any control process
  std::string current_;
  bool from_seeds_ = false;  // `current_` was picked when only the seeds were known
  Micros failed_at_ = 0;     // last failure; 0: none yet
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
