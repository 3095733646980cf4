// Which control process a sidecar asks: one of its own zone where it knows of any, else another that it knows
// of, else a seed; the next when that one has failed. Among those of a zone each sidecar has an order of its
// own, by a hash of both names, so that all have their part of the sidecars. It comes back to its own zone
// some time after a failure there, as bytes between zones are dear. A core: it holds no clock, socket, file
// or thread.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "messages/control_node.hpp"

namespace violetwing {

class ControlProcessSelector {
 public:
  // `name` draws the sidecars apart.
  ControlProcessSelector(std::string zone, const std::string& name)
      : zone_(std::move(zone)), order_(Hash(0, name)), random_(1, name) {}

  // Internal addresses of the seeds, in the order of the settings.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  // The internal address to ask; empty while none is known.
  const std::string& Current(const std::vector<ControlNode>& known);
  void OnAnswered(const std::vector<ControlNode>& known, Micros now);
  void OnFailed(const std::vector<ControlNode>& known, Micros now);

 private:
  std::vector<std::string> Candidates(const std::vector<ControlNode>& known) const;
  void Pick(const std::vector<ControlNode>& known);

  std::vector<std::string> OwnZone(const std::vector<ControlNode>& known) const;
  // In the order of this sidecar.
  void Sort(std::vector<std::string>& addresses) const;

  const std::string zone_;
  const std::uint64_t order_;  // seeds the hash of an address
  Random random_;
  std::vector<std::string> seeds_;
  std::vector<std::string> failed_;  // since one last answered
  std::string current_;
  bool from_seeds_ = false;  // `current_` was picked while nothing but the seeds was known
  Micros failed_at_ = 0;     // when one last failed
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_PROCESS_SELECTOR_HPP_
