// Picks the server for each request. The candidates form a ring in the order of their ids. Each sidecar uses
// a range of consecutive servers, its window, whose offset depends on the sidecar's number. A request that
// gives its prompt parts is sent to the server with the shortest expected time until the prompt is prefilled
// (server_cost.hpp), among those of the window and those with affinity (affinity.hpp). Any other request is
// sent to the cheaper of two random servers of the window (power of two choices; Mitzenmacher, IEEE TPDS
// 2001). Pure logic: it uses no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "dataplane/directory/directory.hpp"
#include "dataplane/load_balancing/attempt_result.hpp"
#include "dataplane/load_balancing/prefill_estimate.hpp"
#include "dataplane/load_balancing/prefill_queue.hpp"
#include "dataplane/load_balancing/request_attributes.hpp"
#include "dataplane/load_balancing/server_cost.hpp"
#include "dataplane/load_balancing/upstream_server_state.hpp"
#include "messages/load.hpp"

namespace violetwing {

/// How soon other sidecars should get the next load report.
enum class ReportUrgency {
  kDeferred,
  kImmediate,  ///< a long prompt was sent, and other sidecars may be about to pick the same server
};

/// What the first byte of a response tells about the request.
enum class FirstByteKind {
  kExecuting,  ///< the server is executing the request, so its prompt has been prefilled
  kOther,      ///< a rejection or an error
};

/// Load balancer of one sidecar. Not thread-safe. All times are steady clock times.
class LoadBalancer {
 public:
  /// `seed` initializes the random number generator.
  explicit LoadBalancer(std::uint64_t seed) : random_(seed) {}

  /// Sets the zone of this sidecar (empty: zones are ignored), and a function that returns whether an idle
  /// connection to an instance is open.
  void SetLocality(std::string zone, std::function<bool(const std::string& id)> has_connection);

  /// Picks a server from `candidates`, which must be sorted by id; null if none may be attempted now. An
  /// ejected server is picked only if there is no other.
  const Instance* PickServer(const std::vector<const Instance*>& candidates, const Directory& directory,
                             const RequestAttributes& attributes, Micros now);

  /// Records that an attempt was sent to an instance. Sets `sent_at` and the prefill estimates of
  /// `attributes`.
  void OnSent(const std::string& id, RequestAttributes& attributes, Micros now);
  /// Records the load that an instance reported.
  void OnLoadReported(const std::string& id, const ServerLoad& load, Micros now);
  /// Records the first byte of an attempt's response. Call at most once per attempt.
  void OnFirstByte(const std::string& id, const RequestAttributes& attributes, FirstByteKind kind,
                   Micros now);
  /// Records the end of an attempt. Call once for each OnSent. `first_byte_received`: whether OnFirstByte was
  /// called for the attempt.
  void OnEnd(const std::string& id, AttemptResult result, const RequestAttributes& attributes,
             bool first_byte_received, Micros now);
  /// Removes the state of servers that the directory does not list and that have no requests in flight.
  void RemoveUnlistedServers(const Directory& directory, Micros now);

  /// Sets a callback for each prompt that is added to the next report; null turns reports off.
  void SetOnReportPending(std::function<void(ReportUrgency)> on_report_pending);
  /// Returns and clears the report on the prompts sent since the last one. Its `node` is left empty.
  LoadReport TakeReport();
  /// Sets how many sidecars each received report represents, as only some of the other sidecars report to
  /// this one.
  void SetSidecarsPerReport(double sidecars) { sidecars_per_report_ = sidecars; }
  /// Applies another sidecar's report. Prompts with an implausible prefill time are ignored.
  void OnPeerReport(const LoadReport& report, Micros now);

  /// Number of this sidecar's requests in flight at an instance.
  int InFlight(const std::string& id) const;

  /// The number of servers of which something is known.
  std::size_t known_servers() const { return servers_.size(); }

 private:
  class CheapestServer;

  bool MayAttempt(const Instance& instance, const RequestAttributes& attributes, Micros now);
  double Cost(const Instance& instance, const RequestAttributes& attributes, bool has_affinity, Micros now);
  void ConsiderWindowAndAffinity(CheapestServer& cheapest, const std::vector<const Instance*>& ring,
                                 std::size_t window);
  void ConsiderTwoRandom(CheapestServer& cheapest, const std::vector<const Instance*>& ring,
                         std::size_t window);
  void ConsiderAll(CheapestServer& cheapest, const std::vector<const Instance*>& ring);
  void ConsiderEjected(CheapestServer& cheapest, const std::vector<const Instance*>& ring);
  void AddToReport(const std::string& id, const RequestAttributes& attributes);

  Random random_;
  std::string zone_;
  std::function<bool(const std::string& id)> has_connection_;
  std::map<std::string, UpstreamServerState> servers_;  // by instance id
  PrefillQueue prefill_queue_;
  PrefillEstimate prefill_estimate_;
  double sidecars_per_report_ = 1;
  std::vector<SentPrompt> unreported_prompts_;
  std::function<void(ReportUrgency)> on_report_pending_;
};

/// Offset of a sidecar's window in a ring of `ring_size` servers. The windows of the sidecars, which are
/// numbered from 0, are spread evenly over the ring.
std::size_t WindowOffset(int sidecar_number, int sidecar_count, std::size_t ring_size);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_
