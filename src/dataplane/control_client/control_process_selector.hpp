// Picks the control process that a sidecar watches: one of its own zone if any is known, else another known
// one, else a seed; after a failure the next one. Within a zone each sidecar has its own order of preference,
// by a hash of both names (rendezvous hashing), which spreads the sidecars over the control processes. Some
// time after a failure it fails back to its own zone, as traffic between zones is expensive. A core: it holds
// no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "messages/control_node.hpp"

namespace violetwing {

/// `known` is always the list of control processes from the latest watch reply; times are of the steady
/// clock.
class ControlProcessSelector {
 public:
  /// Zone and unique name of the sidecar; the name seeds its order of preference.
  ControlProcessSelector(std::string zone, const std::string& name)
      : zone_(std::move(zone)), order_(Hash(0, name)), random_(1, name) {}

  /// Internal addresses of the seeds.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// Internal address of the control process to call; empty while none is known.
  const std::string& Current(const std::vector<ControlNode>& known);
  /// The current one responded: may fail back to the own zone.
  void OnAnswered(const std::vector<ControlNode>& known, Micros now);
  /// The current one failed: the next one becomes current.
  void OnFailed(const std::vector<ControlNode>& known, Micros now);

 private:
  std::vector<std::string> Candidates(const std::vector<ControlNode>& known) const;
  void Pick(const std::vector<ControlNode>& known);

  std::vector<std::string> AddressesInOwnZone(const std::vector<ControlNode>& known) const;
  // By the order of preference of this sidecar.
  void SortByPreference(std::vector<std::string>& addresses) const;

  const std::string zone_;
  const std::uint64_t order_;  // seeds the hash of an address
  Random random_;
  std::vector<std::string> seeds_;
  std::vector<std::string> failed_;  // since one last responded
  std::string current_;
  bool from_seeds_ = false;  // `current_` was picked while nothing but the seeds was known
  Micros failed_at_ = 0;     // when one last failed
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
