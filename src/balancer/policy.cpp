// The core of the decision module: server list, request lifecycle, choice of a server, retries and discovery.
// Interface: include/violetwing_balancer/balancer.hpp. Other parts: admission control (admission.cpp),
// per-server limits (server_limits.cpp), server health (server_health.cpp) and zones (zones.cpp).
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "balancer/admission.hpp"
#include "balancer/records.hpp"
#include "balancer/server_health.hpp"
#include "balancer/server_limits.hpp"
#include "balancer/settings.hpp"
#include "balancer/zones.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

// The backoff before attempt n+1 is random(0, min(kMaxBackoff, base * 2^n)).
constexpr Micros kRetryBase = 100 * kMillisecond;
// Upper limit of the attempts per request; Settings::max_attempts may set a lower one.
constexpr int kMaxAttempts = 5;
// Random draws from the window before it is searched linearly. Bounds the cost of a usual choice.
constexpr int kMaxDraws = 8;
// Sends over which the peak of the attempts in flight decays.
constexpr double kPeakDecaySends = 100;
// A request with an incomplete body has no deadline yet; the component that forwards it enforces its
// progress.
constexpr Micros kNoDeadline = 3600 * kSecond;
// From this price of crossing zones on (fraction of the result), servers of other zones get only the requests
// that those of the own zone cannot serve. Below it, choosing among all servers gains more than crossing
// costs.
constexpr double kOwnZoneFirstPrice = 0.05;
// The backoff before another Subscribe after a failure is random(0, min(max_subscribe_delay, base * 2^n)).
constexpr Micros kSubscribeRetryBase = kSecond;
// Maximum time between the starts of two Subscribe calls, whatever their results. A change counts as known to
// the sidecar 6 s after discovery had it and was reachable; the last second of these is for the response.
constexpr Micros kMaxSubscribeInterval = 5 * kSecond;
// Maximum delay of the first Subscribe after a start, random as all sidecars may start together. The stored
// list is as old as the downtime since the previous process, which this delay allows to be 3 s: a change
// counts as known after 6 s, of which 1 s is for the response.
constexpr Micros kMaxInitialSubscribeDelay = 2 * kSecond;
// Maximum delay of a Subscribe while a predecessor process keeps serving until this one has a list: short,
// but still random, so that the sidecars do not all call at once.
constexpr Micros kMaxTakeoverSubscribeDelay = kSecond;

}  // namespace

class Balancer::State {
 public:
  State(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
      : settings_(settings),
        sink_(sink),
        random_(seed),
        now_(now),
        admission_(settings_, random_),
        server_limits_(settings_, admission_, random_, now_),
        class_times_(settings.classes.size()) {}

  void Advance(Micros now) { now_ = std::max(now_, now); }

  // ---- Server list and window on the ring ----

  void OnServers(const ListUpdate& update) {
    if (update.takeover) admission_.SetTakeover();
    if (update.kind == ListUpdate::Kind::kFailed) {
      const Micros max_wait = std::max(last_subscribe_ + kMaxSubscribeInterval - now_, kSubscribeRetryBase);
      const Micros wait = std::min(
          ExponentialBackoff(kSubscribeRetryBase, failed_subscribes_++, settings_.max_subscribe_delay),
          max_wait);
      ScheduleSubscribe(update.takeover ? kMaxTakeoverSubscribeDelay : wait);
      return;
    }
    if (update.kind == ListUpdate::Kind::kStale) {
      ScheduleSubscribe(update.takeover
                            ? kMaxTakeoverSubscribeDelay
                            : std::min(kMaxInitialSubscribeDelay, settings_.max_subscribe_delay / 2));
    } else {
      failed_subscribes_ = 0;
    }
    if (update.kind != ListUpdate::Kind::kDelta)
      for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerInfo& info : update.servers) {
      Server& server = servers_[info.id];
      if (info.started != server.info.started) {  // new in the list, or restarted
        server_limits_.OnNewServer(server);
      }
      server.info = info;
      server.pool = settings_.price_cross_zone >= kOwnZoneFirstPrice && info.zone != settings_.zone ? 1 : 0;
      server.listed = info.state != ServerInfo::State::kRemoved;
      ever_listed_.insert(info.id);
    }
    for (auto it = servers_.begin(); it != servers_.end();)
      it = it->second.listed || it->second.in_flight > 0 ? std::next(it) : servers_.erase(it);
    BuildRings();
  }

  // ---- Servers disabled by an operator ----

  void Disable(const std::string& id) {
    if (disabled_.insert(id).second) BuildRings();
  }

  // The server starts without history: failures from before it was disabled do not count.
  void Enable(const std::string& id) {
    if (disabled_.erase(id) == 0) return;
    if (const auto it = servers_.find(id); it != servers_.end()) it->second.ResetHistory();
    BuildRings();
  }

  const std::set<std::string>& disabled() const { return disabled_; }
  bool WasListed(const std::string& id) const { return ever_listed_.count(id) > 0; }

  // ---- Zones drained by an operator ----

  void SetZoneOrder(int zone, const ZoneOrder& order) { zones_.SetOrder(zone, order); }
  void ClearZoneOrder(int zone) { zones_.ClearOrder(zone); }
  double ZoneTrafficShare(int zone) const { return zones_.TrafficShare(zone, now_); }
  bool HasUsableServerOutside(int zone) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
      return entry.second.info.zone != zone && Usable(entry.first, entry.second);
    });
  }

  Membership GetMembership() const {
    Membership out;
    for (const auto& [id, server] : servers_) {
      if (!server.listed) continue;
      ++out.members;
      out.unavailable += !Usable(id, server) || server_limits_.IsEjected(server);
    }
    return out;
  }

  // ---- Request lifecycle ----

  void OnRequest(const Request& in) {
    if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= class_times_.size())
      return sink_.Fail(in.id);
    auto [it, inserted] = requests_.try_emplace(std::string(in.id));
    if (!inserted) return;
    TrackedRequest& tracked = it->second;
    tracked.request_class = static_cast<std::size_t>(in.request_class);
    tracked.arrived = now_;
    tracked.body_incomplete = in.body_incomplete;
    tracked.deadline = now_ + (in.body_incomplete ? kNoDeadline : in.budget);
    tracked.late = SpentOnEarlierTries(class_times_[tracked.request_class], ClassOf(tracked), in.budget);
    admission_.CountArrival(now_, tracked.request_class, in.cost);
    if (ClassOf(tracked).sequential && !in.key.empty())
      key_queues_[tracked.key = in.key].push_back(it->first);
    if (!Admit(tracked)) return RejectOrFail(it);
    SendOrRetryLater(it);
  }

  void OnOutcome(const Outcome& outcome) {
    auto it = requests_.find(std::string(outcome.request));
    if (it == requests_.end()) return;
    TrackedRequest& tracked = it->second;
    if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= tracked.attempts.size()) return;
    Attempt& attempt = tracked.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    attempt.may_have_run = !ProvesNeverRan(outcome.result, settings_.rejected_may_have_run);
    --attempt.server->in_flight;
    attempt.server->idle_in_flight -= attempt.idle;
    pools_[attempt.server->pool].in_flight -= attempt.CountsAsLoad();
    if (outcome.result == Result::kSuccess) server_limits_.CountSuccess(*attempt.server);
    UpdateHealth(tracked, *attempt.server, outcome);
    if (!attempt.overdue_counted) RecordLoadSignal(tracked, *attempt.server, outcome);
    if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
        outcome.result == Result::kCancelled)
      tracked.key_settled_at = now_ + settings_.sequential_settle_time;
    if (outcome.settled) MarkEnded(tracked, outcome.result == Result::kSuccess);
    if (tracked.ended || tracked.AnyInFlight()) return ReleaseIfDone(it);
    switch (outcome.result) {
      case Result::kRejected:
      case Result::kUnreachable:
      case Result::kReset:
      case Result::kNoDescriptor:
        return RetryLater(it);
      case Result::kSuccess:  // not settled: violates the interface, but the request must still end
      case Result::kError:
      case Result::kTimeout:
      case Result::kCancelled:
      case Result::kNeverSent:
        return RejectOrFail(it);
    }
  }

  // From here on, the request is treated like one that arrived completely.
  void OnRequestBodyComplete(std::string_view request, Micros budget) {
    auto it = requests_.find(std::string(request));
    if (it == requests_.end() || !std::exchange(it->second.body_incomplete, false)) return;
    it->second.arrived = now_;
    it->second.deadline = now_ + budget;
    if (!it->second.AnyInFlight() || it->second.ended) return;
    Attempt& attempt = it->second.attempts.back();
    attempt.server->idle_in_flight -= attempt.idle;
    pools_[attempt.server->pool].in_flight += std::exchange(attempt.idle, false);
    SetRequestTimer(it, ClassOf(it->second).latency_target);
  }

  void OnRequestBodyDiscarded(std::string_view request) {
    auto it = requests_.find(std::string(request));
    if (it != requests_.end()) it->second.body_discarded = true;
  }

  void OnResponseStarted(std::string_view request, int number) {
    auto it = requests_.find(std::string(request));
    if (it == requests_.end() || number < 0 || static_cast<std::size_t>(number) >= it->second.attempts.size())
      return;
    Attempt& attempt = it->second.attempts[static_cast<std::size_t>(number)];
    if (!attempt.in_flight || attempt.idle) return;
    pools_[attempt.server->pool].in_flight -= attempt.CountsAsLoad();
    attempt.idle = true;
    ++attempt.server->idle_in_flight;
  }

  void OnClientDisconnected(std::string_view request) {
    auto it = requests_.find(std::string(request));
    if (it == requests_.end()) return;
    MarkEnded(it->second);
    ReleaseIfDone(it);
  }

  void OnTimer(std::uint64_t token) {
    if (token == kSubscribeToken) {
      subscribe_pending_ = false;
      last_subscribe_ = now_;
      sink_.Subscribe();
      return;
    }
    auto timer = timers_.find(token);
    if (timer == timers_.end()) return;
    auto it = requests_.find(timer->second);
    timers_.erase(timer);
    if (it == requests_.end() || it->second.timer != token) return;
    if (it->second.ended) return ReleaseIfDone(it);
    if (it->second.AnyInFlight()) return OnOverdue(it->second);
    if (!IsFirstForKey(it)) return RejectOrFail(it);  // its client gives up before the key is free
    SendOrRetryLater(it);
  }

  std::size_t size() const { return requests_.size(); }

 private:
  using RequestIt = std::unordered_map<std::string, TrackedRequest>::iterator;
  static constexpr std::uint64_t kSubscribeToken = 0;

  const RequestClass& ClassOf(const TrackedRequest& tracked) const {
    return settings_.classes[tracked.request_class];
  }

  bool Usable(const std::string& id, const Server& server) const {
    return server.listed && server.info.state == ServerInfo::State::kHealthy && disabled_.count(id) == 0 &&
           zones_.TrafficShare(server.info.zone, now_) > 0;
  }

  void BuildRings() {
    for (Pool& pool : pools_) pool.ring.clear();
    for (auto& [id, server] : servers_)
      if (Usable(id, server)) pools_[server.pool].ring.push_back(&server);
    // Ranks are spread evenly over the ring. Adding or removing a server shifts each window by at most one.
    for (Pool& pool : pools_) {
      pool.window_offset = static_cast<std::size_t>(static_cast<std::uint64_t>(settings_.rank) *
                                                    pool.ring.size() / settings_.sidecar_count);
      pool.sidecars_per_server = SidecarsPerServer(pool, settings_.sidecar_count);
    }
  }

  void MarkEnded(TrackedRequest& tracked, bool served = false) {
    if (std::exchange(tracked.ended, true)) return;
    const RequestClass& c = ClassOf(tracked);
    const bool late = tracked.late || (c.latency_target > 0 && now_ - tracked.arrived > c.latency_target);
    admission_.CountCompletion(tracked.request_class, !served ? 0 : late ? c.late_value : 1);
  }

  // Requests with the same key run in arrival order: only the first in the key's queue may be sent.
  bool IsFirstForKey(RequestIt it) const {
    return it->second.key.empty() || key_queues_.at(it->second.key).front() == it->first;
  }

  void SendOrRetryLater(RequestIt it) {
    TrackedRequest& tracked = it->second;
    if (zones_.TakeAvailabilityChange(now_)) BuildRings();
    tracked.timer = 0;  // the key may become free before the timer for the end of the wait
    if (!IsFirstForKey(it))
      return SetRequestTimer(it, std::max<Micros>(tracked.deadline - now_ - 2 * settings_.tick, 0));
    Server* server = tracked.deadline > now_ ? ChooseServer(tracked) : nullptr;
    if (server == nullptr) return RetryLater(it);
    ++server->in_flight;
    server->idle_in_flight += tracked.body_incomplete;  // servers do not start incomplete requests
    // Spent when sending, not when drawing.
    server->slow_start_credit = std::max(server->slow_start_credit - 1, 0.0);
    Pool& pool = pools_[server->pool];
    pool.in_flight += !tracked.body_incomplete;
    pool.peak_in_flight =
        std::max(static_cast<double>(pool.in_flight), pool.peak_in_flight * (1 - 1 / kPeakDecaySends));
    const Micros begin_within = DedupTimeLeft(tracked);
    tracked.attempts.push_back(
        {server, server->info.zone, server->info.cell, now_, /*in_flight=*/true, tracked.body_incomplete});
    sink_.Send(it->first, server->info.id, AttemptTimeout(tracked), begin_within);
    if (const Micros time_left = tracked.arrived + ClassOf(tracked).latency_target - now_;
        time_left > 0 && !tracked.body_incomplete)
      SetRequestTimer(it, time_left);
  }

  // The timeout of an attempt is the time when its response loses all value. This keeps servers from working
  // on late responses and detects hanging servers early. 0 = no timeout.
  Micros AttemptTimeout(const TrackedRequest& tracked) const {
    const RequestClass& c = ClassOf(tracked);
    if (c.latency_target <= 0 || c.late_value > 0 || c.aim_stretch > 0 || tracked.body_incomplete) return 0;
    return std::max<Micros>(tracked.arrived + c.latency_target - now_, settings_.tick);
  }

  // ---- Overload: admission, and the signals that adjust it ----

  // Whether the client's earlier tries used up the latency target: the budget is then clearly shorter than
  // the typical one, by the time spent on them. The typical budget is tracked like a median, in small steps.
  // With the maximum instead, one patient client would make its class seem late.
  bool SpentOnEarlierTries(ClassTimes& class_times, const RequestClass& c, Micros budget) const {
    const Micros step = c.deadline / 100;
    if (class_times.typical_budget == 0) class_times.typical_budget = budget;
    class_times.typical_budget += std::clamp(budget - class_times.typical_budget, -step, step);
    return budget < class_times.typical_budget - 3 * step - settings_.tick &&
           c.deadline - budget >= c.latency_target;
  }

  // Under overload, the requests of the lowest value are rejected first, before they are queued. This
  // protects servers from overload, and keeps all responses from being late and retried by the clients on top
  // of the load.
  bool Admit(TrackedRequest& tracked) {
    if (admission_.TooManyOpen(now_)) return false;
    const std::size_t request_class = tracked.request_class;
    for (tracked.pool = 0; tracked.pool < pools_.size(); ++tracked.pool) {
      if (tracked.pool > 0 && !admission_.WorthCrossZone(request_class)) break;
      Pool& pool = pools_[tracked.pool];
      admission_.UpdateWindow(pool, now_);
      if (!pool.ring.empty() && admission_.Admits(pool, request_class, tracked.late)) return true;
    }
    tracked.pool = 0;
    return NoServers() && !AllDisabled();  // a server may be listed while the request waits
  }

  bool NoServers() const { return pools_[0].ring.empty() && pools_[1].ring.empty(); }

  // Whether there are healthy servers in the list but an operator has disabled all of them or their zones.
  // Waiting does not help then.
  bool AllDisabled() const {
    return NoServers() && std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
             return entry.second.listed && entry.second.info.state == ServerInfo::State::kHealthy;
           });
  }

  // Counts an attempt that is in flight past its latency target as overload at once. Otherwise an overload
  // would be noticed only with the responses, seconds after they were due.
  void OnOverdue(TrackedRequest& tracked) {
    Attempt& attempt = tracked.attempts.back();
    if (!attempt.in_flight || !attempt.CountsAsLoad()) return;
    attempt.overdue_counted = true;
    --pools_[attempt.server->pool].in_flight;
    RecordLoadSignal(tracked, *attempt.server, {.request = {}, .result = Result::kTimeout});
    server_limits_.EjectOutlier(*attempt.server, pools_[attempt.server->pool]);
  }

  // The response time includes the wait in this sidecar; otherwise an overload would only move from the
  // servers' queues to this one.
  void RecordLoadSignal(const TrackedRequest& tracked, const Server& server, const Outcome& outcome) {
    admission_.RecordOutcome(pools_[server.pool], tracked.request_class, outcome, now_ - tracked.arrived,
                             server);
  }

  void UpdateHealth(const TrackedRequest& tracked, Server& server, const Outcome& outcome) {
    const std::size_t request_class = tracked.request_class;
    if (UpdateServerHealth(server, class_times_[request_class], request_class, class_times_.size(),
                           ClassOf(tracked).latency_target, outcome))
      server_limits_.EjectOutlier(server, pools_[server.pool]);
  }

  // A server that recently rejected this class, or failed, is skipped with the probability of its rejections
  // or errors. This handles rate limits on one class, which say nothing about capacity for the others, full
  // servers, and servers that fail immediately and so look idle. If all servers reject at random, the linear
  // search still takes any of them.
  bool SkipForRejections(const TrackedRequest& tracked, const Server& server) {
    const double rejected_share =
        server.rejected_share.empty() ? 0 : server.rejected_share[tracked.request_class];
    const double share = std::max(rejected_share, server.error_share);
    return share > 0 && random_.Unit() < share;
  }

  // ---- Choice of a server ----

  // Chooses in the pool that admitted the request, or in the other zones if that pool is full and the request
  // is worth the price of crossing.
  Server* ChooseServer(const TrackedRequest& tracked) {
    for (std::size_t i = pools_[tracked.pool].ring.empty() ? 0 : tracked.pool; i < pools_.size(); ++i) {
      if (i > tracked.pool && !admission_.WorthCrossZone(tracked.request_class)) break;
      if (pools_[i].ring.empty() || !admission_.BelowLimit(pools_[i])) continue;
      if (Server* server = ChooseInPool(pools_[i], tracked)) return server;
    }
    return nullptr;
  }

  // The less loaded of two random servers of the window, or null if no server of it may be used.
  Server* ChooseInPool(const Pool& pool, const TrackedRequest& tracked) {
    const std::size_t width = WindowWidth(pool);
    const double limit_per_unit = server_limits_.LimitPerUnit(pool);
    Server* best = nullptr;
    int found = 0;
    for (int draw = 0; draw < kMaxDraws && found < 2; ++draw) {
      Server& server = pool.WindowServer(random_.Below(width));
      if (server_limits_.AtLimit(server, limit_per_unit) || server_limits_.IsEjected(server) ||
          SkipForRejections(tracked, server) || !MayUse(tracked, server) ||
          !zones_.AcceptsDraw(server.info.zone, now_, random_) ||
          !server_limits_.MaySendInSlowStart(server, pool))
        continue;
      ++found;
      if (best == nullptr || server.LoadScore() < best->LoadScore()) best = &server;
    }
    if (best != nullptr) return best;
    bool none_warm = true;  // then no credit arises, and the choice is random by capacity share
    for (std::size_t i = 0; i < width; ++i)
      none_warm = none_warm && server_limits_.CapacityShare(pool.WindowServer(i)) < 1;
    const std::size_t start = random_.Below(width);
    for (std::size_t i = 0; i < width; ++i) {
      Server& server = pool.WindowServer((start + i) % width);
      if (server_limits_.AtLimit(server, limit_per_unit) || !MayUse(tracked, server)) continue;
      if (server_limits_.MaySendInSlowStart(server, pool) ||
          (none_warm && random_.Unit() < server_limits_.CapacityShare(server)))
        return &server;
    }
    return tracked.FirstMayHaveRun() == nullptr ? nullptr : ChooseOutsideWindow(tracked);
  }

  // An attempt that may have run can be retried only in its deduplication group, and the window may contain
  // no other server of that group. Then any listed server of the group is used, within the deduplication
  // window.
  Server* ChooseOutsideWindow(const TrackedRequest& tracked) {
    for (Pool& pool : pools_) {
      const std::size_t start = random_.Below(pool.ring.size());
      const double limit_per_unit = server_limits_.LimitPerUnit(pool);
      for (std::size_t i = 0; i < pool.ring.size(); ++i) {
        Server& server = *pool.ring[(start + i) % pool.ring.size()];
        if (!server_limits_.AtLimit(server, limit_per_unit) && !server_limits_.IsEjected(server) &&
            MayUse(tracked, server) && server_limits_.MaySendInSlowStart(server, pool))
          return &server;
      }
    }
    return nullptr;
  }

  // A retry goes to another server if there is one. After an attempt that may have run, only a server that
  // drops the duplicate may be used.
  bool MayUse(const TrackedRequest& tracked, const Server& server) const {
    if (!tracked.attempts.empty() && tracked.attempts.back().server == &server &&
        WindowWidth(pools_[server.pool]) > 1)
      return false;
    const Attempt* ran = tracked.FirstMayHaveRun();
    const RequestClass& c = ClassOf(tracked);
    if (!MayRetry(tracked)) return false;
    if (ran == nullptr || c.retry_safety == RetrySafety::kSafe) return true;
    if (c.group == DedupGroup::kZone) return ran->zone == server.info.zone;
    if (c.group == DedupGroup::kCell) return ran->cell == server.info.cell;
    return true;
  }

  // Exponential backoff with full jitter. Ends the request if another attempt is not possible.
  void RetryLater(RequestIt it) {
    TrackedRequest& tracked = it->second;
    const int n = tracked.backoffs++;
    const Micros wait = random_.UpTo(ExponentialBackoff(kRetryBase, n, kMaxBackoff));
    const int max_attempts = std::min(kMaxAttempts, settings_.max_attempts);
    if (tracked.backoffs >= max_attempts || now_ + wait + settings_.tick >= tracked.deadline ||
        !MayRetry(tracked) || admission_.TooManyOpen(now_) || AllDisabled())
      return RejectOrFail(it);
    SetRequestTimer(it, wait);
  }

  void SetRequestTimer(RequestIt it, Micros wait) {
    it->second.timer = ++last_timer_;
    timers_.emplace(last_timer_, it->first);
    sink_.SetTimer(wait, last_timer_);
  }

  bool MayRetry(const TrackedRequest& tracked) const {
    return !tracked.body_discarded && RetryIsSafe(tracked);
  }

  bool RetryIsSafe(const TrackedRequest& tracked) const {
    return tracked.FirstMayHaveRun() == nullptr || ClassOf(tracked).retry_safety == RetrySafety::kSafe ||
           DedupTimeLeft(tracked) > 0;
  }

  // For how much longer servers drop a duplicate, if the retry depends on that; otherwise 0. It is passed on
  // with the attempt, as its connection may take a while to be established.
  Micros DedupTimeLeft(const TrackedRequest& tracked) const {
    const Attempt* ran = tracked.FirstMayHaveRun();
    const RequestClass& c = ClassOf(tracked);
    return ran != nullptr && c.retry_safety == RetrySafety::kDeduplicated ? ran->sent + c.dedup_window - now_
                                                                          : 0;
  }

  // Ends the request. A rejection promises that the client may safely retry; without that certainty the
  // request fails.
  void RejectOrFail(RequestIt it) {
    const RequestClass& c = ClassOf(it->second);
    const bool retry_is_safe = it->second.FirstMayHaveRun() == nullptr ||
                               c.retry_safety == RetrySafety::kSafe ||
                               (c.group == DedupGroup::kAll && RetryIsSafe(it->second));
    MarkEnded(it->second);
    if (retry_is_safe) {
      // With advice beyond half the latency target the client would return too late to be served in time.
      const Micros max_advice = std::min(settings_.max_retry_after, c.latency_target / 2);
      sink_.Reject(it->first, max_advice > 0 ? 1 + random_.UpTo(max_advice) : 0);
    } else {
      sink_.Fail(it->first);
    }
    ReleaseIfDone(it);
  }

  // Attempts in flight of an ended request are useless and block its key.
  void CancelInFlight(RequestIt it) {
    if (!settings_.cancel || std::exchange(it->second.cancelled, true)) return;
    for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
      if (it->second.attempts[i].in_flight) sink_.Cancel(it->first, static_cast<int>(i));
  }

  // Erases an ended request and sends the next one in its key's queue. To keep the order of the key, the key
  // stays blocked while an attempt is in flight, even if the client has disconnected, and for the settle time
  // after a timeout, reset or cancellation.
  void ReleaseIfDone(RequestIt it) {
    TrackedRequest& tracked = it->second;
    if (!tracked.ended) return;
    if (tracked.AnyInFlight()) return CancelInFlight(it);
    auto queue = key_queues_.find(tracked.key);
    if (queue == key_queues_.end()) return void(requests_.erase(it));
    if (now_ < tracked.key_settled_at) return SetRequestTimer(it, tracked.key_settled_at - now_);
    auto& ids = queue->second;
    const bool was_first = ids.front() == it->first;
    ids.erase(std::find(ids.begin(), ids.end(), it->first));
    requests_.erase(it);
    if (ids.empty()) return void(key_queues_.erase(queue));
    if (was_first) SendOrRetryLater(requests_.find(ids.front()));
  }

  // ---- Discovery ----

  void ScheduleSubscribe(Micros max_delay) {
    if (!settings_.must_subscribe || subscribe_pending_) return;
    subscribe_pending_ = true;
    sink_.SetTimer(random_.UpTo(max_delay), kSubscribeToken);
  }

  const Settings settings_;
  ActionSink& sink_;
  Random random_;
  Micros now_;
  std::map<std::string, Server> servers_;  // in ring order; node addresses are stable
  std::set<std::string> disabled_;         // by an operator, whether listed or not
  std::unordered_set<std::string> ever_listed_;
  std::array<Pool, 2> pools_;
  std::unordered_map<std::string, TrackedRequest> requests_;  // never iterated
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_ = kSubscribeToken;
  std::unordered_map<std::string, std::deque<std::string>> key_queues_;  // request ids by key; never iterated
  Admission admission_;
  ServerLimits server_limits_;
  Zones zones_;
  std::vector<ClassTimes> class_times_;  // by class
  int failed_subscribes_ = 0;
  Micros last_subscribe_ = 0;
  bool subscribe_pending_ = false;
};

// ---- Public interface ----

std::unique_ptr<Balancer> Balancer::Create(const Settings& s, std::uint64_t seed, Micros now,
                                           ActionSink& sink, std::string& error) {
  error = ValidateSettings(s);
  if (!error.empty()) return nullptr;
  return std::unique_ptr<Balancer>(new Balancer(std::make_unique<State>(s, seed, now, sink)));
}

Balancer::Balancer(std::unique_ptr<State> state) : state_(std::move(state)) {}
Balancer::~Balancer() = default;

void Balancer::OnServers(Micros now, const ListUpdate& update) {
  state_->Advance(now);
  state_->OnServers(update);
}
void Balancer::OnRequest(Micros now, const Request& request) {
  state_->Advance(now);
  state_->OnRequest(request);
}
void Balancer::OnRequestBodyComplete(Micros now, std::string_view request, Micros budget) {
  state_->Advance(now);
  state_->OnRequestBodyComplete(request, budget);
}
void Balancer::OnRequestBodyDiscarded(Micros now, std::string_view request) {
  state_->Advance(now);
  state_->OnRequestBodyDiscarded(request);
}
void Balancer::OnResponseStarted(Micros now, std::string_view request, int attempt) {
  state_->Advance(now);
  state_->OnResponseStarted(request, attempt);
}
void Balancer::OnOutcome(Micros now, const Outcome& outcome) {
  state_->Advance(now);
  state_->OnOutcome(outcome);
}
void Balancer::OnClientDisconnected(Micros now, std::string_view request) {
  state_->Advance(now);
  state_->OnClientDisconnected(request);
}
void Balancer::OnTimer(Micros now, std::uint64_t token) {
  state_->Advance(now);
  state_->OnTimer(token);
}
void Balancer::OnProbed(Micros now, const ProbeResult&) { state_->Advance(now); }
void Balancer::OnPeerMessage(Micros now, std::uint32_t, std::string_view) { state_->Advance(now); }
void Balancer::Disable(Micros now, const std::string& server) {
  state_->Advance(now);
  state_->Disable(server);
}
void Balancer::Enable(Micros now, const std::string& server) {
  state_->Advance(now);
  state_->Enable(server);
}
const std::set<std::string>& Balancer::disabled() const { return state_->disabled(); }
bool Balancer::WasListed(const std::string& server) const { return state_->WasListed(server); }
void Balancer::SetZoneOrder(Micros now, int zone, const ZoneOrder& order) {
  state_->Advance(now);
  state_->SetZoneOrder(zone, order);
}
void Balancer::ClearZoneOrder(int zone) { state_->ClearZoneOrder(zone); }
double Balancer::ZoneTrafficShare(Micros now, int zone) {
  state_->Advance(now);
  return state_->ZoneTrafficShare(zone);
}
bool Balancer::HasUsableServerOutside(int zone) const { return state_->HasUsableServerOutside(zone); }
Membership Balancer::membership(Micros now) {
  state_->Advance(now);
  return state_->GetMembership();
}
std::size_t Balancer::tracked_requests() const { return state_->size(); }

}  // namespace violetwing::balancer
