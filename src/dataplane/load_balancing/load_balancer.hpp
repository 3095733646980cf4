// Picks the server for each request. The candidates form a ring in the order of their ids; a sidecar uses a
// run of consecutive ones, its window, which begins at an offset given by its number. For a request that
// gives its prompt parts, the server with the least expected time until the prompt is prefilled is picked
// (server_cost.hpp), from the window and the servers with affinity (affinity.hpp). For all others, the
// cheaper one of two random servers of the window (power of two choices; Mitzenmacher, IEEE TPDS 2001). A
// core: it holds no clock, socket, file or thread.
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
  kImmediate,  ///< a long prompt was sent, and others may be about to send to the same server
};

/// What a server's first byte of a response says.
enum class FirstByteKind {
  kExecuting,  ///< the server executes the request, so that its prompt has been prefilled
  kOther,      ///< a rejection or an error
};

/// Load balancer of one sidecar. Not thread-safe. All times are of the steady clock.
class LoadBalancer {
 public:
  /// `seed`: of the random choices.
  explicit LoadBalancer(std::uint64_t seed) : random_(seed) {}

  /// Zone of this sidecar (empty: zones do not matter), and whether an idle connection to an instance is
  /// open.
  void SetLocality(std::string zone, std::function<bool(const std::string& id)> has_connection);

  /// The best server of `candidates`, which must be sorted by id; null if none may be attempted now. Ejected
  /// servers are used only if there is no other.
  const Instance* PickServer(const std::vector<const Instance*>& candidates, const Directory& directory,
                             const RequestAttributes& attributes, Micros now);

  /// An attempt was sent to an instance: sets the prefill estimates of `attributes`.
  void OnSent(const std::string& id, RequestAttributes& attributes, Micros now);
  /// An instance reported its load.
  void OnLoadReported(const std::string& id, const ServerLoad& load, Micros now);
  /// The first byte of an attempt's response arrived; at most once an attempt.
  void OnFirstByte(const std::string& id, const RequestAttributes& attributes, FirstByteKind kind,
                   Micros now);
  /// An attempt ended; once for each OnSent. `first_byte_received`: OnFirstByte was called for it.
  void OnEnd(const std::string& id, AttemptResult result, const RequestAttributes& attributes,
             bool first_byte_received, Micros now);
  /// Removes the state of servers that the directory no longer lists and that have nothing in flight.
  void RemoveUnlistedServers(const Directory& directory, Micros now);

  /// Called after each prompt that the next report will include; null turns reports off.
  void SetOnReportPending(std::function<void(ReportUrgency)> on_report_pending);
  /// The prompts sent since the last report; its sender is left empty.
  LoadReport TakeReport();
  /// Only some of the other sidecars report to this one: each report stands for the prompts of so many.
  void SetSidecarsPerReport(double sidecars) { sidecars_per_report_ = sidecars; }
  /// Another sidecar's report. Prompts with an implausible prefill time are ignored.
  void OnPeerReport(const LoadReport& report, Micros now);

  /// Requests of this sidecar in flight at an instance.
  int InFlight(const std::string& id) const;

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

/// Where a sidecar's window begins in a ring of `ring` servers: the sidecars' numbers, from 0, are spread
/// evenly over it.
std::size_t WindowOffset(int number, int sidecars, std::size_t ring);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_
