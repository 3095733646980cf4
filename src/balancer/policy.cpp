// Every decision of violetwing::balancer but admission's (admission.cpp), what a server may be sent
// (room.cpp), what outcomes tell of servers (evidence.cpp) and zones (zones.cpp). Interface:
// include/violetwing_balancer/balancer.hpp.
//
// Order of this file: tunables, state, the list of servers and the window, a request's life, discovery.
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "balancer/admission.hpp"
#include "balancer/evidence.hpp"
#include "balancer/records.hpp"
#include "balancer/room.hpp"
#include "balancer/settings.hpp"
#include "balancer/zones.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

// The wait before attempt n+1 is random(0, min(cap, base * 2^n)).
constexpr Micros kRetryBase = 100 * kMillisecond;
// The design's stop; the deployment may set a lower limit.
constexpr int kMaxAttempts = 5;
// Draws from the window before it is searched from end to end: bounds the work of an ordinary choice.
constexpr int kDraws = 8;
// Sends over which the peak of what is out is remembered.
constexpr double kPeakMemory = 100;
// An open request has no deadline until its last byte has come; what sends it sees to its progress.
constexpr Micros kNoDeadline = 3600 * kSecond;
// From this price of a crossing on (share of the result) servers of other zones serve only what their own
// zone's cannot; below it a choice from all servers gains more than the crossings cost.
constexpr double kCrossingPriced = 0.05;
// Asking discovery again after a failure waits random(0, min(ask_within, base * 2^n)).
constexpr Micros kAskBase = kSecond;
// But a call begins at most so long after the one before it began: whatever becomes of calls, a change counts
// as told 6 s after discovery had it and could be reached, and the last of those is for the answer.
constexpr Micros kAskAgain = 5 * kSecond;
// A fresh start asks within this time, spread as all sidecars may have started together. Its list is as old
// as the process before it is dead, and of the 6 s from which a change counts as told a second is for the
// answer: it may have been down for 3 s.
constexpr Micros kAskStart = 2 * kSecond;
// A sidecar that waits for a list before it serves asks within this time: soon, and still not all at once.
constexpr Micros kAskAwaited = kSecond;

}  // namespace

class Balancer::State {
 public:
  State(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
      : set_(settings),
        sink_(sink),
        random_(seed),
        now_(now),
        admission_(set_, random_),
        room_(set_, admission_, random_, now_),
        times_(settings.classes.size()) {}

  void Advance(Micros now) { now_ = std::max(now_, now); }

  // ---- The list of servers and the window on its ring ----

  void OnServers(const ListUpdate& update) {
    if (update.takeover) admission_.Succeed();
    if (update.kind == ListUpdate::Kind::kFailed) {
      const Micros most = std::max(asked_at_ + kAskAgain - now_, kAskBase);
      const Micros wait = std::min(Doubled(kAskBase, asks_failed_++, set_.max_subscribe_delay), most);
      AskLater(update.takeover ? kAskAwaited : wait);
      return;
    }
    if (update.kind == ListUpdate::Kind::kStale) {
      AskLater(update.takeover ? kAskAwaited : std::min(kAskStart, set_.max_subscribe_delay / 2));
    } else {
      asks_failed_ = 0;
    }
    if (update.kind != ListUpdate::Kind::kDelta)
      for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerInfo& info : update.servers) {
      Server& server = servers_[info.id];
      if (info.started != server.info.started) {  // new here, or its process is
        room_.Begin(server);
      }
      server.info = info;
      server.pool = set_.price_cross_zone >= kCrossingPriced && info.zone != set_.zone ? 1 : 0;
      server.listed = info.state != ServerInfo::State::kGone;
      ever_listed_.insert(info.id);
    }
    for (auto it = servers_.begin(); it != servers_.end();)
      it = it->second.listed || it->second.out > 0 ? std::next(it) : servers_.erase(it);
    BuildRings();
  }

  // ---- Servers taken out by hand ----

  void Disable(const std::string& id) {
    if (disabled_.insert(id).second) BuildRings();
  }

  // It comes back as if it were new: what it was struck for before it was taken out is over.
  void Enable(const std::string& id) {
    if (disabled_.erase(id) == 0) return;
    if (const auto it = servers_.find(id); it != servers_.end()) it->second.Forget();
    BuildRings();
  }

  const std::set<std::string>& disabled() const { return disabled_; }
  bool WasListed(const std::string& id) const { return ever_listed_.count(id) > 0; }

  // ---- Zones taken out by hand ----

  void SetZoneOrder(int zone, const ZoneOrder& order) { zones_.Order(zone, order); }
  void ClearZoneOrder(int zone) { zones_.Forget(zone); }
  double ZoneTrafficShare(int zone) const { return zones_.Open(zone, now_); }
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
      out.unavailable += !Usable(id, server) || room_.Ejected(server);
    }
    return out;
  }

  // ---- A request's life ----

  void OnRequest(const Request& in) {
    if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= times_.size())
      return sink_.Fail(in.id);
    auto [it, fresh] = held_.try_emplace(std::string(in.id));
    if (!fresh) return;
    Held& held = it->second;
    held.request_class = static_cast<std::size_t>(in.request_class);
    held.arrived = now_;
    held.body_incomplete = in.body_incomplete;
    held.deadline = now_ + (in.body_incomplete ? kNoDeadline : in.budget);
    held.late = WaitedPastAim(times_[held.request_class], ClassOf(held), in.budget);
    admission_.CountArrival(now_, held.request_class, in.cost);
    if (ClassOf(held).sequential && !in.key.empty()) lines_[held.key = in.key].push_back(it->first);
    if (!LetIn(held)) return End(it);
    SendOrWait(it);
  }

  void OnOutcome(const Outcome& outcome) {
    auto it = held_.find(std::string(outcome.request));
    if (it == held_.end()) return;
    Held& held = it->second;
    if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= held.attempts.size()) return;
    Attempt& attempt = held.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.out) return;
    attempt.out = false;
    attempt.may_have_run = !ProvesNeverRan(outcome.result, set_.rejected_may_have_run);
    --attempt.server->out;
    attempt.server->idle -= attempt.idle;
    pools_[attempt.server->pool].out -= attempt.Carried();
    if (outcome.result == Result::kSuccess) room_.CountServed(*attempt.server);
    Judge(held, *attempt.server, outcome);
    if (!attempt.felt) Feel(held, *attempt.server, outcome);
    if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
        outcome.result == Result::kCancelled)
      held.settled_at = now_ + set_.sequential_settle_time;
    if (outcome.settled) SetEnded(held, outcome.result == Result::kSuccess);
    if (held.ended || held.AnyOut()) return Release(it);
    switch (outcome.result) {
      case Result::kRejected:
      case Result::kUnreachable:
      case Result::kReset:
      case Result::kNoDescriptor:
        return Wait(it);
      case Result::kSuccess:  // unsettled: not legal, and an end is owed all the same
      case Result::kError:
      case Result::kTimeout:
      case Result::kCancelled:
      case Result::kNeverSent:
        return End(it);
    }
  }

  // From here on it is a request like the others.
  void OnRequestBodyComplete(std::string_view request, Micros budget) {
    auto it = held_.find(std::string(request));
    if (it == held_.end() || !std::exchange(it->second.body_incomplete, false)) return;
    it->second.arrived = now_;
    it->second.deadline = now_ + budget;
    if (!it->second.AnyOut() || it->second.ended) return;
    Attempt& attempt = it->second.attempts.back();
    attempt.server->idle -= attempt.idle;
    pools_[attempt.server->pool].out += std::exchange(attempt.idle, false);
    Alarm(it, ClassOf(it->second).latency_target);
  }

  void OnRequestBodyDiscarded(std::string_view request) {
    auto it = held_.find(std::string(request));
    if (it != held_.end()) it->second.dropped = true;
  }

  void OnResponseStarted(std::string_view request, int number) {
    auto it = held_.find(std::string(request));
    if (it == held_.end() || number < 0 || static_cast<std::size_t>(number) >= it->second.attempts.size())
      return;
    Attempt& attempt = it->second.attempts[static_cast<std::size_t>(number)];
    if (!attempt.out || attempt.idle) return;
    pools_[attempt.server->pool].out -= attempt.Carried();
    attempt.idle = true;
    ++attempt.server->idle;
  }

  void OnClientDisconnected(std::string_view request) {
    auto it = held_.find(std::string(request));
    if (it == held_.end()) return;
    SetEnded(it->second);
    Release(it);
  }

  void OnTimer(std::uint64_t token) {
    if (token == kAskToken) {
      ask_pending_ = false;
      asked_at_ = now_;
      sink_.Subscribe();
      return;
    }
    auto timer = timers_.find(token);
    if (timer == timers_.end()) return;
    auto it = held_.find(timer->second);
    timers_.erase(timer);
    if (it == held_.end() || it->second.timer != token) return;
    if (it->second.ended) return Release(it);
    if (it->second.AnyOut()) return FeelLate(it->second);
    if (!HasTurn(it)) return End(it);  // it has waited for its turn as long as its client waits
    SendOrWait(it);
  }

  std::size_t size() const { return held_.size(); }

 private:
  using HeldIt = std::unordered_map<std::string, Held>::iterator;
  static constexpr std::uint64_t kAskToken = 0;

  const RequestClass& ClassOf(const Held& held) const { return set_.classes[held.request_class]; }

  bool Usable(const std::string& id, const Server& server) const {
    return server.listed && server.info.state == ServerInfo::State::kHealthy && disabled_.count(id) == 0 &&
           zones_.Open(server.info.zone, now_) > 0;
  }

  void BuildRings() {
    for (Pool& pool : pools_) pool.ring.clear();
    for (auto& [id, server] : servers_)
      if (Usable(id, server)) pools_[server.pool].ring.push_back(&server);
    // Ranks are spread evenly over the ring; a server that comes or goes shifts each window by one at most.
    for (Pool& pool : pools_) {
      pool.offset = static_cast<std::size_t>(static_cast<std::uint64_t>(set_.rank) * pool.ring.size() /
                                             set_.sidecar_count);
      pool.sharers = Sharers(pool, set_.sidecar_count);
    }
  }

  void SetEnded(Held& held, bool served = false) {
    if (std::exchange(held.ended, true)) return;
    const RequestClass& c = ClassOf(held);
    const bool late = held.late || (c.latency_target > 0 && now_ - held.arrived > c.latency_target);
    admission_.CountEnd(held.request_class, !served ? 0 : late ? c.late_value : 1);
  }

  // Requests with one key go in order of arrival: only the first in line may be sent.
  bool HasTurn(HeldIt it) const {
    return it->second.key.empty() || lines_.at(it->second.key).front() == it->first;
  }

  void SendOrWait(HeldIt it) {
    Held& held = it->second;
    if (zones_.Turned(now_)) BuildRings();
    held.timer = 0;  // a turn may come before the alarm that was set for its failing to come
    if (!HasTurn(it)) return Alarm(it, std::max<Micros>(held.deadline - now_ - 2 * set_.tick, 0));
    Server* server = held.deadline > now_ ? Choose(held) : nullptr;
    if (server == nullptr) return Wait(it);
    ++server->out;
    server->idle += held.body_incomplete;  // no server begins what has not come whole
    server->slow_start_credit =
        std::max(server->slow_start_credit - 1, 0.0);  // spent by a send, not by a draw
    Pool& pool = pools_[server->pool];
    pool.out += !held.body_incomplete;
    pool.out_peak = std::max(static_cast<double>(pool.out), pool.out_peak * (1 - 1 / kPeakMemory));
    const Micros begin_within = HarmlessFor(held);
    held.attempts.push_back(
        {server, server->info.zone, server->info.cell, now_, /*out=*/true, held.body_incomplete});
    sink_.Send(it->first, server->info.id, TimeOut(held), begin_within);
    if (const Micros late = held.arrived + ClassOf(held).latency_target - now_;
        late > 0 && !held.body_incomplete)
      Alarm(it, late);
  }

  // An attempt is given up when its answer would be worth nothing. Guards against servers kept busy with what
  // comes late, and tells early of those that hang.
  Micros TimeOut(const Held& held) const {
    const RequestClass& c = ClassOf(held);
    if (c.latency_target <= 0 || c.late_value > 0 || c.aim_stretch > 0 || held.body_incomplete) return 0;
    return std::max<Micros>(held.arrived + c.latency_target - now_, set_.tick);
  }

  // ---- Overload: which work is let in, and what tells of it ----

  // A try with clearly less time than is usual is a client's last: what it lacks was spent on earlier ones.
  // The usual is followed by small steps, as a median is: the longest would be one patient client's, and a
  // whole class would seem late beside it.
  bool WaitedPastAim(ClassTimes& times, const RequestClass& c, Micros budget) const {
    const Micros step = c.deadline / 100;
    if (times.usual_budget == 0) times.usual_budget = budget;
    times.usual_budget += std::clamp(budget - times.usual_budget, -step, step);
    return budget < times.usual_budget - 3 * step - set_.tick && c.deadline - budget >= c.latency_target;
  }

  // Under pressure the work of least worth is refused first, before it fills a queue. Guards against servers
  // that choke and against answers that all come late, each retried by its client on top of the load.
  bool LetIn(Held& held) {
    if (admission_.Crowded(now_)) return false;
    const std::size_t own = held.request_class;
    for (held.pool = 0; held.pool < pools_.size(); ++held.pool) {
      if (held.pool > 0 && !admission_.WorthCrossing(own)) break;
      Pool& pool = pools_[held.pool];
      admission_.CountWindow(pool, now_);
      if (!pool.ring.empty() && admission_.Admits(pool, own, held.late)) return true;
    }
    held.pool = 0;
    return NoServers() && !OutByHand();  // a server may yet be listed while it waits
  }

  bool NoServers() const { return pools_[0].ring.empty() && pools_[1].ring.empty(); }

  // Of the servers in the list that could serve, all are out by hand: no wait helps.
  bool OutByHand() const {
    return NoServers() && std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
             return entry.second.listed && entry.second.info.state == ServerInfo::State::kHealthy;
           });
  }

  // An attempt that is still out when its request's aim has passed is pressure at once. Guards against
  // hearing of an overload only when the answers come, seconds after they were late.
  void FeelLate(Held& held) {
    Attempt& attempt = held.attempts.back();
    if (!attempt.out || !attempt.Carried()) return;
    attempt.felt = true;
    --pools_[attempt.server->pool].out;
    Feel(held, *attempt.server, {.request = {}, .result = Result::kTimeout});
    room_.EjectOutlier(*attempt.server, pools_[attempt.server->pool]);
  }

  // What it waited here for room counts too: else an overload would only move from the servers' queues to
  // here.
  void Feel(const Held& held, const Server& server, const Outcome& outcome) {
    admission_.Feel(pools_[server.pool], held.request_class, outcome, now_ - held.arrived, server);
  }

  // What an outcome tells of the server.
  void Judge(const Held& held, Server& server, const Outcome& outcome) {
    const std::size_t own = held.request_class;
    if (Learn(server, times_[own], own, times_.size(), ClassOf(held).latency_target, outcome))
      room_.EjectOutlier(server, pools_[server.pool]);
  }

  // A server that lately turned away this class, or failed, is passed over as often as it did. Guards against
  // limits on one class, which say nothing of room for the others, against full servers, and against those
  // that fail at once and so look idle. It could harm where all refuse by chance; the search from end to end
  // then takes any.
  bool Refuses(const Held& held, const Server& server) {
    const double refuses = server.refuses.empty() ? 0 : server.refuses[held.request_class];
    const double share = std::max(refuses, server.fails);
    return share > 0 && random_.Unit() < share;
  }

  // ---- The choice of a server ----

  // In the pool that it was let in to, or further off where that has no room and the crossing is worth it.
  Server* Choose(const Held& held) {
    for (std::size_t i = pools_[held.pool].ring.empty() ? 0 : held.pool; i < pools_.size(); ++i) {
      if (i > held.pool && !admission_.WorthCrossing(held.request_class)) break;
      if (pools_[i].ring.empty() || !admission_.HasRoom(pools_[i])) continue;
      if (Server* server = ChooseIn(pools_[i], held)) return server;
    }
    return nullptr;
  }

  // The less busy of two random window servers. Null if the window holds none that may be used.
  Server* ChooseIn(const Pool& pool, const Held& held) {
    const std::size_t width = Width(pool);
    const double most = room_.MostOut(pool);
    Server* best = nullptr;
    int found = 0;
    for (int draw = 0; draw < kDraws && found < 2; ++draw) {
      Server& server = pool.InWindow(random_.Below(width));
      if (room_.Full(server, most) || room_.Ejected(server) || Refuses(held, server) ||
          !MayUse(held, server) || !zones_.Takes(server.info.zone, now_, random_) ||
          !room_.AcceptInSlowStart(server, pool))
        continue;
      ++found;
      if (best == nullptr || server.Busy() < best->Busy()) best = &server;
    }
    if (best != nullptr) return best;
    bool none_warm = true;  // then nobody serves enough to earn credit, and chance by share has to do
    for (std::size_t i = 0; i < width; ++i) none_warm = none_warm && room_.Warmth(pool.InWindow(i)) < 1;
    const std::size_t start = random_.Below(width);
    for (std::size_t i = 0; i < width; ++i) {
      Server& server = pool.InWindow((start + i) % width);
      if (room_.Full(server, most) || !MayUse(held, server)) continue;
      if (room_.AcceptInSlowStart(server, pool) || (none_warm && random_.Unit() < room_.Warmth(server)))
        return &server;
    }
    return held.MayHaveRun() == nullptr ? nullptr : OutsideWindow(held);
  }

  // The exception to the window: what may have run can be repeated only in its group, and the window may hold
  // no other server of it. Then any listed server of the group will do, for as long as repeats are dropped.
  Server* OutsideWindow(const Held& held) {
    for (Pool& pool : pools_) {
      const std::size_t start = random_.Below(pool.ring.size());
      const double most = room_.MostOut(pool);
      for (std::size_t i = 0; i < pool.ring.size(); ++i) {
        Server& server = *pool.ring[(start + i) % pool.ring.size()];
        if (!room_.Full(server, most) && !room_.Ejected(server) && MayUse(held, server) &&
            room_.AcceptInSlowStart(server, pool))
          return &server;
      }
    }
    return nullptr;
  }

  // After a refusal another server is tried; after an attempt that may have run, only what drops the repeat.
  bool MayUse(const Held& held, const Server& server) const {
    if (!held.attempts.empty() && held.attempts.back().server == &server && Width(pools_[server.pool]) > 1)
      return false;
    const Attempt* ran = held.MayHaveRun();
    const RequestClass& c = ClassOf(held);
    if (!MayRepeat(held)) return false;
    if (ran == nullptr || c.retry_safety == RetrySafety::kSafe) return true;
    if (c.group == DedupGroup::kZone) return ran->zone == server.info.zone;
    if (c.group == DedupGroup::kCell) return ran->cell == server.info.cell;
    return true;
  }

  // The design's wait: full jitter, doubling. Ends the request when nothing more can come of it.
  void Wait(HeldIt it) {
    Held& held = it->second;
    const int n = held.refusals++;
    const Micros wait = random_.Upto(Doubled(kRetryBase, n, kRetryCap));
    const int limit = std::min(kMaxAttempts, set_.max_attempts);
    if (held.refusals >= limit || now_ + wait + set_.tick >= held.deadline || !MayRepeat(held) ||
        admission_.Crowded(now_) || OutByHand())
      return End(it);
    Alarm(it, wait);
  }

  void Alarm(HeldIt it, Micros wait) {
    it->second.timer = ++last_timer_;
    timers_.emplace(last_timer_, it->first);
    sink_.SetTimer(wait, last_timer_);
  }

  bool MayRepeat(const Held& held) const { return !held.dropped && HarmlessAgain(held); }

  bool HarmlessAgain(const Held& held) const {
    return held.MayHaveRun() == nullptr || ClassOf(held).retry_safety == RetrySafety::kSafe ||
           HarmlessFor(held) > 0;
  }

  // How much longer its repeat is dropped, if that is what it depends on. A connection may come up later.
  Micros HarmlessFor(const Held& held) const {
    const Attempt* ran = held.MayHaveRun();
    const RequestClass& c = ClassOf(held);
    return ran != nullptr && c.retry_safety == RetrySafety::kDeduplicated ? ran->sent + c.dedup_window - now_
                                                                          : 0;
  }

  // The final answer. A refusal promises that a further try does no harm; where that is not certain it fails.
  void End(HeldIt it) {
    const RequestClass& c = ClassOf(it->second);
    const bool harmless = it->second.MayHaveRun() == nullptr || c.retry_safety == RetrySafety::kSafe ||
                          (c.group == DedupGroup::kAll && HarmlessAgain(it->second));
    SetEnded(it->second);
    if (harmless) {
      // Advice beyond half the aim would bring the client back too late to be served in time.
      const Micros most = std::min(set_.max_retry_after, c.latency_target / 2);
      sink_.Reject(it->first, most > 0 ? 1 + random_.Upto(most) : 0);
    } else {
      sink_.Fail(it->first);
    }
    Release(it);
  }

  // What is still out of a request that is over serves nobody, and keeps the turn of its key.
  void CancelRest(HeldIt it) {
    if (!set_.cancel || std::exchange(it->second.cancelled, true)) return;
    for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
      if (it->second.attempts[i].out) sink_.Cancel(it->first, static_cast<int>(i));
  }

  // Forgets a request that is over; the next in its line has the turn then. Guards the order of a key: the
  // turn is kept while an attempt is unresolved, even if the client is gone, and for the settle time after
  // doubt.
  void Release(HeldIt it) {
    Held& held = it->second;
    if (!held.ended) return;
    if (held.AnyOut()) return CancelRest(it);
    auto line = lines_.find(held.key);
    if (line == lines_.end()) return void(held_.erase(it));
    if (now_ < held.settled_at) return Alarm(it, held.settled_at - now_);
    auto& ids = line->second;
    const bool first = ids.front() == it->first;
    ids.erase(std::find(ids.begin(), ids.end(), it->first));
    held_.erase(it);
    if (ids.empty()) return void(lines_.erase(line));
    if (first) SendOrWait(held_.find(ids.front()));
  }

  // ---- Discovery ----

  void AskLater(Micros most) {
    if (!set_.must_subscribe || ask_pending_) return;
    ask_pending_ = true;
    sink_.SetTimer(random_.Upto(most), kAskToken);
  }

  const Settings set_;
  ActionSink& sink_;
  Random random_;
  Micros now_;
  std::map<std::string, Server> servers_;  // sorted: the ring's order; nodes stay put
  std::set<std::string> disabled_;         // taken out by hand, listed or not
  std::unordered_set<std::string> ever_listed_;
  std::array<Pool, 2> pools_;
  std::unordered_map<std::string, Held> held_;  // looked up, never walked
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_ = kAskToken;
  std::unordered_map<std::string, std::deque<std::string>>
      lines_;  // request ids by key; looked up, never walked
  Admission admission_;
  Room room_;
  Zones zones_;
  std::vector<ClassTimes> times_;  // by class
  int asks_failed_ = 0;
  Micros asked_at_ = 0;
  bool ask_pending_ = false;
};

// ---- The outside ----

std::unique_ptr<Balancer> Balancer::Create(const Settings& s, std::uint64_t seed, Micros now,
                                           ActionSink& sink, std::string& error) {
  error = WhatIsWrong(s);
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
