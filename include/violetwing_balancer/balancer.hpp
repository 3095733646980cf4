// Public interface of violetwing::balancer: the decision logic of a sidecar load balancer for
// service-to-service calls.
//
// A Balancer owns no sockets, clocks or threads. The caller delivers events, each with the current time, and
// carries out the actions that the balancer passes to its ActionSink before the event call returns.
//
// Ownership: a Balancer owns its state and keeps a reference to the sink, which must outlive it. It copies
// the event data that it keeps. Threading: a Balancer may be used by one thread at a time; Balancers share
// no state. Time: any monotonic clock in microseconds; an event with an earlier time than the previous one
// is treated as simultaneous with it.
//
// The caller must deliver one Outcome for each Send and one OnTimer call for each SetTimer, and must give
// each request an id that this Balancer has not seen. Events for an unknown request, attempt or server are
// ignored, as are duplicate outcomes and a second OnRequest with the id of a request that is still tracked.
// A request of an unknown class fails. Times and settings must be below 2^60 microseconds.
#ifndef VIOLETWING_BALANCER_BALANCER_HPP_
#define VIOLETWING_BALANCER_BALANCER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace violetwing::balancer {

/// A time or a duration in microseconds.
using Micros = std::int64_t;

/// Whether a request may be retried after an attempt that may have run: always (idempotent), only within the
/// deduplication window and on a server of the same DedupGroup, or never (at most once).
enum class RetrySafety { kSafe, kDeduplicated, kNever };

/// The servers that share deduplication state: all, those of one zone, or those of one cell.
enum class DedupGroup { kAll, kZone, kCell };

struct RequestClass {
  std::string name;
  Micros latency_target = 0;  // a response within this time has its full value; 0 = no target
  double aim_stretch = 0;     // the latency target grows by this multiple of the request's own work
  Micros deadline = 0;        // the longest time that a client waits, over all its retries
  double value = 1;           // of one request, or of one unit of its work (Settings::value_by_work)
  double late_value = 0;      // fraction of the value that a response after the latency target keeps
  RetrySafety retry_safety = RetrySafety::kNever;
  DedupGroup group = DedupGroup::kAll;
  Micros dedup_window = 0;  // servers drop duplicates for this long after the first send
  bool streamed = false;
  bool sequential = false;  // requests of such classes with the same key run one at a time, in arrival order
};

struct Tenant {
  std::string name;
  double share = 0;        // fraction of the servers' capacity
  double quota_per_s = 0;  // requests per second over all sidecars; 0 = unlimited
};

/// The settings of a deployment. Every parameter that depends on the deployment is in here.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  int zone = -1;                    // zone of this sidecar; -1 = unknown
  std::uint32_t rank = 0;           // index of this sidecar, from 0 to sidecar_count - 1
  std::uint32_t sidecar_count = 1;  // number of sidecars, including this one
  Micros tick = 0;                  // granularity of the event times
  // Permitted actions and resource limits.
  int max_attempts = 1;
  bool parallel_attempts = false;
  bool cancel = false;
  bool peers = false;
  bool probes = false;
  Micros max_retry_after = 0;  // longest Retry-After that clients follow; 0 = they follow none
  int streams_per_connection = 1;
  Micros connection_idle_timeout = 0;  // idle connections are closed after this time; 0 = unknown
  Micros dial_timeout = 0;             // a connection that is not up by then is unreachable; 0 = unknown
  std::int64_t max_open_requests = 0;  // requests that a sidecar can have open; 0 = unknown
  std::int64_t cpu_per_s = 0;          // CPU time of a sidecar, in microseconds per second; 0 = unknown
  double cpu_per_request = 0;          // CPU time for a request and its outcomes, in us; 0 = unlimited
  bool clients_mark_retries = false;
  // How servers report their load, and what the weights in the server list mean.
  enum class Reports { kNone, kInAnswers, kInProbes } reports = Reports::kNone;
  std::vector<std::string> report_fields;
  enum class Weights { kNone, kNominal, kRough, kLive } weights = Weights::kNone;
  // How the server list is followed.
  bool must_subscribe = false;     // the balancer has to call Subscribe; otherwise updates arrive unasked
  Micros max_subscribe_delay = 0;  // upper limit of the backoff before another Subscribe
  // Server behavior.
  Micros drain_grace = 0;              // a draining or removed server may still be sent to for this long
  double cold_share = 1;               // fraction of its capacity that a server has when it starts; (0, 1]
  Micros warm_after = 0;               // time after its start at which it has full capacity
  double overload_factor = 1;          // a cold server fails when it gets more than this multiple of its
  Micros overload_window = 0;          // capacity for this long
  bool rejected_may_have_run = false;  // servers also reject requests that had started: kRejected proves
                                       // nothing
  Micros sequential_settle_time = 0;   // delay of a key's next request after a timeout, reset or cancellation
  // Prices, as fractions of the result.
  double price_cross_zone = 0;
  double price_waste = 0;
  double price_connection = 0;
  double price_late_failure = 0;
  double price_handshake = 0;
  double price_probe = 0;      // of one probe per request
  double price_peer = 0;       // of 256 bytes delivered to peers per request
  double price_discovery = 0;  // of 100 lines of server lists per request
  double price_moves = 0;
  double price_origin = 0;
  // Weights of the parts of the result, as fractions.
  double goal_total = 1;
  double goal_worst_window = 0;
  double goal_worst_class = 0;
  double goal_worst_tenant = 0;
  bool value_by_work = false;
  double over_share_worth = 1;
};

struct ServerInfo {
  std::string id;
  int zone = -1;
  int machine = -1;  // index of the machine type; -1 = unknown
  std::int64_t cell = -1;
  double weight = 1;   // relative to the other servers
  Micros started = 0;  // 0 = long ago
  enum class State { kHealthy, kDraining, kRemoved } state = State::kHealthy;
};

struct ListUpdate {
  enum class Kind {
    kDelta,   // changed entries only
    kFull,    // the complete list
    kStale,   // the complete list as this sidecar last stored it; may be outdated
    kFailed,  // a Subscribe or Fetch failed or the subscription broke; no entries
  } kind = Kind::kFull;
  std::int64_t version = 0;
  std::span<const ServerInfo> servers;
  bool takeover = false;  // a predecessor process keeps serving until a fresh list arrives here, or for a few
                          // seconds
};

struct Request {
  std::string_view id;
  int request_class = 0;
  int tenant = -1;
  std::optional<Micros> cost;  // expected work
  Micros budget = 0;           // the client gives up after this time
  bool is_retry = false;       // as marked by the client
  bool write = false;
  bool body_incomplete = false;  // its last byte has not arrived; the budget starts when it does
  std::string_view key;          // orders requests of sequential classes; empty = none
};

enum class Result {
  kSuccess,
  kError,        // may have run
  kRejected,     // rejected by the server without running, unless Settings::rejected_may_have_run
  kTimeout,      // may have run and may still be running
  kUnreachable,  // no connection
  kReset,        // the connection broke; may have run
  kCancelled,    // may have run
  kNeverSent,
  kNoDescriptor,  // not sent because this sidecar had no free descriptor; says nothing about the server
};

/// The load that a server reports about itself: delayed and noisy. A missing value was not reported; it does
/// not mean 0.
struct LoadReport {
  std::optional<double> busy;        // requests on the server
  std::optional<double> waiting;     // the part of them that is queued
  std::optional<double> cpu;         // CPU utilization, 0 to 1
  std::optional<double> service_ms;  // recent service time, excluding queueing
  std::optional<double> served_per_s;
  std::optional<double> failed_per_s;
};

struct Outcome {
  std::string_view request;
  int attempt = 0;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  bool settled = false;  // the client has the final response to the request
  LoadReport load = {};
};

struct ProbeResult {
  std::string_view server;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  LoadReport load = {};
};

/// The number of listed servers, and how many of them are unavailable: disabled by an operator, not healthy
/// according to the list, or ejected.
struct Membership {
  std::size_t members = 0;
  std::size_t unavailable = 0;
};

/// An operator's order to drain a zone or to return it to service. The zone's share of traffic depends only
/// on this order and the time.
struct ZoneOrder {
  bool draining = false;  // false = return to service, in steps
  Micros start = 0;
  Micros duration = 0;       // 0 = immediately
  double initial_share = 1;  // the zone's share of its usual traffic at `start`
  bool operator==(const ZoneOrder&) const = default;
};

/// Receives the balancer's decisions. The methods are called from inside the event calls; they must not call
/// back into the Balancer.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  /// Sends an attempt; the attempts of a request are numbered from 0 in the order of these calls. A `timeout`
  /// of 0 means until the client gives up. An attempt whose sending has not begun after `begin_within` must
  /// not be sent any more, as a retry would no longer be deduplicated; its result is kNeverSent. A
  /// `begin_within` of 0 means no limit.
  virtual void Send(std::string_view request, const std::string& server, Micros timeout,
                    Micros begin_within) = 0;
  virtual void Cancel(std::string_view request, int attempt) = 0;
  /// Rejects a request that the client may safely retry. A `retry_after` of 0 means no advice.
  virtual void Reject(std::string_view request, Micros retry_after) = 0;
  virtual void Fail(std::string_view request) = 0;
  virtual void SetTimer(Micros delay, std::uint64_t token) = 0;
  virtual void Subscribe() = 0;
  virtual void Log(std::string_view text) = 0;
};

class Balancer {
 public:
  /// Returns null and sets `error` if the settings are invalid.
  static std::unique_ptr<Balancer> Create(const Settings& settings, std::uint64_t seed, Micros now,
                                          ActionSink& sink, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnServers(Micros now, const ListUpdate& update);
  void OnRequest(Micros now, const Request& request);
  /// The last byte of a request with `body_incomplete` has arrived; its client gives up after `budget`.
  void OnRequestBodyComplete(Micros now, std::string_view request, Micros budget);
  /// The caller has discarded a part of the request's body that was sent already: no retry is possible.
  void OnRequestBodyDiscarded(Micros now, std::string_view request);
  /// The response is being streamed to the client: no other attempt can replace this one, and the elapsed
  /// time of its outcome ends here.
  void OnResponseStarted(Micros now, std::string_view request, int attempt);
  void OnOutcome(Micros now, const Outcome& outcome);
  void OnClientDisconnected(Micros now, std::string_view request);
  void OnTimer(Micros now, std::uint64_t token);
  void OnProbed(Micros now, const ProbeResult& probe);
  void OnPeerMessage(Micros now, std::uint32_t sender, std::string_view bytes);

  /// Takes a server out of service on an operator's order until Enable, whatever the list says. Both calls
  /// are idempotent.
  void Disable(Micros now, const std::string& server);
  void Enable(Micros now, const std::string& server);
  const std::set<std::string>& disabled() const;
  /// Whether the server has been in any list so far.
  bool WasListed(const std::string& server) const;
  /// Drains a zone (by its index in the settings) or returns it to service. Replaces an earlier order.
  void SetZoneOrder(Micros now, int zone, const ZoneOrder& order);
  /// Drops the zone's order: the zone gets its full traffic at once.
  void ClearZoneOrder(int zone);
  /// The zone's current share of its usual traffic, 0 to 1.
  double ZoneTrafficShare(Micros now, int zone);
  /// Whether any other zone has a usable server.
  bool HasUsableServerOutside(int zone) const;
  Membership membership(Micros now);

  /// The number of requests with state, including ended ones that still have an attempt in flight.
  std::size_t tracked_requests() const;

 private:
  class State;
  explicit Balancer(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_BALANCER_HPP_
