#include "lab/judge/rules.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace violetwing::lab {
namespace {

// A kill and what its clients see of it are two events of one loop, a few milliseconds apart.
constexpr Micros kKillSlack = 20'000;
// Requests that are left with no answer half a second after their time: one in so many and a few more are put
// down to chance.
constexpr std::size_t kOneUnanswered = 500;
constexpr std::size_t kUnansweredByChance = 5;
// Requests refused with a close of their new connection: one in so many is priced, the rest is lost.
constexpr std::size_t kClosedUnsent = 200;
// Work for clients that have gone: an attempt, first or further, that begins so long after the close. So many
// are put down to chance.
constexpr Micros kGoneSlack = 100'000;
constexpr std::size_t kGoneByChance = 2;
// The time that an attempt tells its server may be so much more than what is left to its client; of the
// further attempts one in so many may tell more.
constexpr Micros kTellsSlack = 150'000;
constexpr std::size_t kOneTellsMore = 5;
// Of the processes that are started anew, one in so many may not be ready within so long, or within the
// shorter time where the run ends sooner.
constexpr std::size_t kOneNotReady = 10;
constexpr Micros kReadyWithin = 10'000'000;
constexpr Micros kReadyAtTheEnd = 6'000'000;
// A cold server's fall is the fault of sidecars that had been told of its start if more than this share is
// theirs.
constexpr double kToldShare = 2.0 / 3;

const Arrival* ArrivalOf(const Plan& plan, const std::string& id) {
  const TryOf which = ParseTryId(id);
  return which.arrival < plan.arrivals.size() ? &plan.arrivals[which.arrival] : nullptr;
}

// Whether the lab killed the process that may have held this try up to a time.
bool DiedWith(const Records& records, int sidecar, const TryRecord& one, Micros until) {
  return std::any_of(records.processes.begin(), records.processes.end(), [&](const ProcessRecord& process) {
    return process.sidecar == sidecar && process.killed != kNever &&
           one.sent <= process.killed + kKillSlack && until >= process.killed - kKillSlack;
  });
}

// Whether the lab let this sidecar stand still within a time, or kept something from or to its clients. What
// was sent then has lain where no process could read it, and none can tell how long.
bool Hindered(const Scenario& scenario, const Plan& plan, const Records& records, int sidecar, Micros from,
              Micros until) {
  return std::any_of(records.faults.begin(), records.faults.end(), [&](const FaultRecord& fault) {
    const auto at = static_cast<std::size_t>(fault.fault);
    const Fault& spec = scenario.faults[at];
    const bool stands = spec.on.party == Party::kSidecar && spec.act == Act::kFreeze;
    if (!stands && spec.on.party != Party::kClient) return false;
    const std::vector<int>& on = plan.faults[at].on;
    return std::find(on.begin(), on.end(), sidecar) != on.end() && fault.begun != kNever &&
           fault.begun <= until && (fault.ended == kNever || fault.ended >= from);
  });
}

const ServerSpec& SpecOf(const Scenario& scenario, const Plan& plan, const LifeRecord& life) {
  const ServerPlan& server = plan.servers[static_cast<std::size_t>(life.server)];
  return scenario.machines[static_cast<std::size_t>(server.machine)].server;
}

bool SameGroup(const Plan& plan, const ClassSpec& kind, const LifeRecord& a, const LifeRecord& b) {
  const ServerPlan& one = plan.servers[static_cast<std::size_t>(a.server)];
  const ServerPlan& other = plan.servers[static_cast<std::size_t>(b.server)];
  switch (kind.group) {
    case KeyGroup::kZone:
      return one.zone == other.zone;
    case KeyGroup::kCell:
      return one.cell == other.cell;
    case KeyGroup::kAll:
      break;
  }
  return true;
}

void CheckUnanswered(const Scenario& scenario, const Plan& plan, const Records& records,
                     std::vector<Breach>& out) {
  std::vector<const TryRecord*> unanswered;
  for (const TryRecord& one : records.tries) {
    if (one.end != TryEnd::kGaveUp || one.sent == kNever) continue;
    const Micros until = one.gives_up + kLateAnswer + kSocketSlack;
    if (one.answered_late != kNever && one.answered_late <= until) continue;
    const Arrival* const arrival = ArrivalOf(plan, one.id);
    if (arrival == nullptr || DiedWith(records, arrival->sidecar, one, until) ||
        Hindered(scenario, plan, records, arrival->sidecar, one.begun, until))
      continue;
    unanswered.push_back(&one);
  }
  if (unanswered.size() <= records.tries.size() / kOneUnanswered + kUnansweredByChance) return;
  out.push_back(
      {"lost", unanswered.front()->ended, unanswered.front()->id,
       "one of " + std::to_string(unanswered.size()) + " that had no answer half a second after their time"});
}

}  // namespace

void CheckAnswers(const Scenario& scenario, const Plan& plan, const Records& records,
                  std::vector<Breach>& out) {
  CheckUnanswered(scenario, plan, records, out);
  std::unordered_set<std::string> attempted;
  for (const AttemptRecord& attempt : records.attempts) attempted.insert(attempt.id);
  std::size_t closed_unsent = 0;
  for (const TryRecord& one : records.tries) {
    if (one.invented) out.push_back({"lost", one.ended, one.id, "served with what no server made for it"});
    if (one.stray) out.push_back({"lost", one.ended, one.id, "answered more than once"});
    if (one.end != TryEnd::kClosed || one.sent == kNever) continue;
    const Arrival* const arrival = ArrivalOf(plan, one.id);
    if (arrival == nullptr || DiedWith(records, arrival->sidecar, one, one.ended)) continue;
    // One that is refused with the close of its new connection is priced, up to a share.
    if (one.first_on_connection && attempted.count(one.id) == 0 &&
        ++closed_unsent <= records.tries.size() / kClosedUnsent)
      continue;
    out.push_back({"lost", one.ended, one.id, "its connection ended with no whole answer"});
  }
}

void CheckGone(const Records& records, std::vector<Breach>& out) {
  std::unordered_map<std::string, Micros> gone;
  for (const TryRecord& one : records.tries)
    if (one.end == TryEnd::kLeft && one.sent != kNever) gone[one.id] = one.ended;
  std::vector<const AttemptRecord*> sent_on;
  for (const AttemptRecord& attempt : records.attempts) {
    const auto it = gone.find(attempt.id);
    if (it != gone.end() && attempt.sent > it->second + kGoneSlack + kSocketSlack)
      sent_on.push_back(&attempt);
  }
  if (sent_on.size() <= kGoneByChance) return;
  const AttemptRecord& first = *sent_on.front();
  out.push_back({"gone", first.sent, first.id,
                 "one of " + std::to_string(sent_on.size()) + " attempts that began " +
                     std::to_string((first.sent - gone[first.id]) / 1000) +
                     " ms and so after their clients had left"});
}

void CheckTells(const Scenario& scenario, const Plan& plan, const Records& records,
                std::vector<Breach>& out) {
  std::unordered_map<std::string, const TryRecord*> tries;
  for (const TryRecord& one : records.tries) tries[one.id] = &one;
  std::unordered_map<std::string, std::vector<const AttemptRecord*>> by_id;
  for (const AttemptRecord& attempt : records.attempts) by_id[attempt.id].push_back(&attempt);
  std::size_t further = 0;
  std::vector<const AttemptRecord*> too_long;
  for (auto& [id, attempts] : by_id) {
    const auto it = tries.find(id);
    if (it == tries.end() || it->second->gives_up == kNever) continue;
    const int sidecar = ArrivalOf(plan, id)->sidecar;
    std::stable_sort(attempts.begin(), attempts.end(),
                     [](const AttemptRecord* a, const AttemptRecord* b) { return a->sent < b->sent; });
    further += attempts.size() - 1;
    for (std::size_t i = 1; i < attempts.size(); ++i)
      if (attempts[i]->sent + attempts[i]->tells > it->second->gives_up + kTellsSlack + kSocketSlack &&
          !Hindered(scenario, plan, records, sidecar, it->second->begun, attempts[i]->sent))
        too_long.push_back(attempts[i]);
  }
  if (too_long.size() * kOneTellsMore <= further) return;
  const auto first = *std::min_element(too_long.begin(), too_long.end(),
                                       [](const auto* a, const auto* b) { return a->sent < b->sent; });
  out.push_back({"told", first->sent, first->id,
                 "one of " + std::to_string(too_long.size()) + " of " + std::to_string(further) +
                     " further attempts that told their servers more time than was left"});
}

void CheckRestarts(const Scenario& scenario, const Records& records, std::vector<Breach>& out) {
  std::set<int> known;  // sidecars of which a process has been seen
  std::size_t restarted = 0;
  std::vector<const ProcessRecord*> late;
  for (const ProcessRecord& one : records.processes) {
    if (known.insert(one.sidecar).second) continue;
    const Micros within = one.started + kReadyWithin <= scenario.length ? kReadyWithin : kReadyAtTheEnd;
    // Whether one that was ended or outlived the run before its time would have been ready, nobody knows.
    const auto before = [&](Micros at) { return at != kNever && at < one.started + within; };
    const bool cut_off = before(one.killed) || before(one.told_to_end);
    const bool ready = one.ready != kNever && one.ready <= one.started + within;
    if (!ready && (cut_off || one.started + within > scenario.length)) continue;
    ++restarted;
    if (!ready) late.push_back(&one);
  }
  if (late.size() * kOneNotReady <= restarted) return;
  out.push_back({"restart", late.front()->started, "sidecar " + std::to_string(late.front()->sidecar),
                 "one of " + std::to_string(late.size()) + " of " + std::to_string(restarted) +
                     " that were not ready in time after a restart"});
}

void CheckRepeats(const Scenario& scenario, const Plan& plan, const Records& records,
                  std::vector<Breach>& out) {
  std::unordered_map<std::string, std::vector<const AttemptRecord*>> by_id;
  for (const AttemptRecord& attempt : records.attempts) {
    if (ArrivalOf(plan, attempt.id) == nullptr) {
      out.push_back({"doubled", attempt.sent, attempt.id, "no client sent a request of this id"});
      continue;
    }
    by_id[attempt.id].push_back(&attempt);
  }
  for (auto& [id, attempts] : by_id) {
    if (attempts.size() < 2) continue;
    const Arrival& arrival = *ArrivalOf(plan, id);
    const ClassSpec& kind = scenario.classes[static_cast<std::size_t>(arrival.kind)];
    if (kind.effect == Effect::kSafe) continue;
    std::stable_sort(attempts.begin(), attempts.end(),
                     [](const AttemptRecord* a, const AttemptRecord* b) { return a->sent < b->sent; });
    const AttemptRecord* first = nullptr;  // that may have run
    for (const AttemptRecord* const attempt : attempts) {
      if (first != nullptr) {
        const auto& lives = records.lives;
        const bool dropped = kind.effect == Effect::kKeyed &&
                             attempt->sent <= first->sent + kind.window + kSocketSlack &&
                             SameGroup(plan, kind, lives[static_cast<std::size_t>(first->life)],
                                       lives[static_cast<std::size_t>(attempt->life)]);
        if (!dropped) {
          out.push_back({"doubled", attempt->sent, id, "sent again, and an earlier attempt may have run"});
          break;
        }
        continue;
      }
      const bool never_ran = attempt->outcome == Outcome::kDeclined;
      // Sent while the one before was still out is as bad: nobody knew yet that it would be turned away.
      const auto next = std::find_if(attempts.begin(), attempts.end(), [&](const AttemptRecord* other) {
        return other != attempt && other->sent >= attempt->sent && other->sent < attempt->ended;
      });
      if (!never_ran || next != attempts.end()) first = attempt;
    }
  }
}

void CheckDrains(const Scenario& scenario, const Plan& plan, const Records& records, const Told& told,
                 std::vector<Breach>& out) {
  std::map<int, std::set<std::string>> ids;  // that served at one address, one after another
  for (const LifeRecord& life : records.lives) ids[life.server].insert(life.id);
  for (const AttemptRecord& attempt : records.attempts) {
    const Arrival* const arrival = ArrivalOf(plan, attempt.id);
    if (arrival == nullptr) continue;
    const LifeRecord& life = records.lives[static_cast<std::size_t>(attempt.life)];
    const auto since = told.OutSince(arrival->sidecar, life.id, attempt.sent);
    if (!since || *since == kNever || attempt.sent <= *since + scenario.drain_grace + kSocketSlack) continue;
    // A list may name the address under an id of before: then it is that one the sidecar was told is up.
    const std::set<std::string>& same = ids[life.server];
    if (std::any_of(same.begin(), same.end(), [&](const std::string& id) {
          const auto other = told.OutSince(arrival->sidecar, id, attempt.sent);
          return id != life.id && other && *other == kNever;
        }))
      continue;
    out.push_back({"drained", attempt.sent, attempt.id,
                   "sent to " + life.id + " " + std::to_string((attempt.sent - *since) / 1000) +
                       " ms after its sidecar was told that it drains or is gone"});
  }
}

double CheckCold(const Scenario& scenario, const Plan& plan, const Records& records, const Told& told,
                 std::vector<Breach>& out) {
  std::vector<std::vector<const AttemptRecord*>> by_life(records.lives.size());
  for (const AttemptRecord& attempt : records.attempts)
    if (attempt.outcome != Outcome::kRepeat)
      by_life[static_cast<std::size_t>(attempt.life)].push_back(&attempt);
  double most = 0;
  for (std::size_t i = 0; i < records.lives.size(); ++i) {
    const LifeRecord& life = records.lives[i];
    if (!life.cold) continue;
    const ServerSpec& spec = SpecOf(scenario, plan, life);
    auto& attempts = by_life[i];
    std::stable_sort(attempts.begin(), attempts.end(),
                     [](const AttemptRecord* a, const AttemptRecord* b) { return a->arrived < b->arrived; });
    std::deque<const AttemptRecord*> window;
    double sum = 0;
    double share = 0;      // the most of the bound
    double told_part = 0;  // of it, at the first fall, what came from sidecars told of the start
    Micros at = kNever;
    for (const AttemptRecord* const attempt : attempts) {
      if (attempt->arrived >= life.started + spec.cold) break;
      window.push_back(attempt);
      sum += attempt->work_us;
      while (window.front()->arrived <= attempt->arrived - spec.fall) {
        sum -= window.front()->work_us;
        window.pop_front();
      }
      const double now = sum / FallBound(spec, attempt->arrived - life.started);
      if (now > share && share <= 1) {
        at = attempt->arrived;
        told_part = 0;
        for (const AttemptRecord* const one : window) {
          const Arrival* const arrival = ArrivalOf(plan, one->id);
          if (arrival != nullptr && told.OfStart(arrival->sidecar, life.id, life.started, one->sent))
            told_part += one->work_us / sum;
        }
      }
      share = std::max(share, now);
    }
    most = std::max(most, share);
    if ((share > 1 || life.fell) && told_part > kToldShare)
      out.push_back(
          {"pushed", at, life.id,
           "sent " + std::to_string(static_cast<int>(share * 100)) + "% of its bound while it was cold, " +
               std::to_string(static_cast<int>(told_part * 100)) + "% of it by sidecars told of its start"});
  }
  return most;
}

}  // namespace violetwing::lab
