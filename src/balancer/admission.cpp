#include "balancer/admission.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::balancer {
namespace {

// Overload. Each outcome moves the share of the work that is let in by kAdmitStep for each whole target that
// the answer came before or after it: about the last 20 answers count.
constexpr double kAdmitStep = 0.05;
// The target is the knee: at twice the unloaded time the power, throughput over time, of a simple queue is
// greatest (Kleinrock 1979). More in a queue adds waiting and no throughput, and on some servers takes some
// away. The unloaded time is known by the least average of the answers so far, which lies about a fifth under
// it.
constexpr double kKnee = 2.5;
// Where that is late, the target is the mean time at which one answer of ten comes after its aim, times being
// spread exponentially: an aim over ln 10.
const double kTimely = 1 / std::log(10);
// But always so far above what idle servers take: else cheap work is refused all day where an idle server
// takes a good part of the aim.
constexpr double kHeadroom = 1.5;
// Answers over which the usual time of a class is averaged, and those that first tell of its unloaded time.
constexpr double kUsualMemory = 200;
constexpr double kUsualFirst = 50;
// The unloaded time rises to what is usual over so many answers that come while all is let in.
constexpr double kUnloadedMemory = 400;
// Spread of what is out by chance, in roots of the mean.
constexpr double kChance = 1;
// An attempt that was turned away or timed out counts as this many aims.
constexpr double kAdmitWorst = 1.5;
// One answer counts as no more targets than this: a connection that fell silent says less of load than four
// answers at twice their target do.
constexpr double kOneAnswerMost = 4;
// What a pool carries falls by so much at most in a window: by half where answers took longer than they may.
// Where they came in time the traffic was less and not the servers, and it comes in bursts: what was carried
// before counts for some windows more, as the fastest of the last round trips does in BBR (Cardwell 2016).
constexpr double kLateFall = 0.5;
constexpr double kTimelyFall = 0.75;
// One good answer recovers no more than it would at this level: servers that choked recover only if they are
// left alone for seconds, and a lucky answer must not end that. 0.15 and 0.3 were tried.
constexpr double kRecoverAt = 0.15;
// Never shut out everything: what is let in is the only way to see the end of an overload.
constexpr double kAdmitLeast = 0.05;
// Good answers save up to this level, so that one bad answer by chance refuses nobody.
constexpr double kAdmitMost = 1.5;
// From this share of the requests that a sidecar can have open on, none is let in and none waits for another
// try. Guards against clients that have no connection left: a refusal tells them at once, and when to return.
constexpr double kCrowded = 0.85;
// What is left of that at first to one that succeeds another process, whose requests are still open: they end
// within about the longest aim, and the share grows evenly as long.
constexpr double kCrowdedFirst = 0.15;
// From this share on a class counts as turned away by a server.
constexpr double kRefusesSome = 0.1;
// Arrivals over which the mix of classes and the share of each that is served are remembered, and how well a
// share of 0.9 is known then.
constexpr double kMixMemory = 300;
constexpr double kServedKnown = 0.02;

// One class turned away of several is a limit on it and no pressure.
bool RefusesOneClass(const Server& server) {
  const auto some = [](double share) { return share > kRefusesSome; };
  return server.refuses.size() > 1 && std::count_if(server.refuses.begin(), server.refuses.end(), some) == 1;
}

}  // namespace

Admission::Admission(const Settings& settings, Random& random)
    : set_(settings), random_(random), load_(settings.classes.size()) {
  for (const RequestClass& c : set_.classes)
    if (c.latency_target > 0) window_ = std::min(window_, c.latency_target);
}

void Admission::CountArrival(Micros now, std::size_t own, std::optional<Micros> cost) {
  ++open_;
  if (first_arrival_ == 0) first_arrival_ = now;
  hinted_ = hinted_ || cost.has_value();
  ClassLoad& load = load_[own];
  load.arrivals = std::min(load.arrivals + 1, kMixMemory);
  if (cost) load.work += (static_cast<double>(*cost) - load.work) / load.arrivals;
  for (ClassLoad& each : load_) each.arriving *= 1 - 1 / kMixMemory;
  load.arriving += load.work;
  arrivals_ = std::min(arrivals_ + 1, kMixMemory);
  mean_worth_ += (Worth(own) - mean_worth_) / arrivals_;
}

bool Admission::Admits(const Pool& pool, std::size_t own, bool late) {
  if (pool.admit >= 1) return true;
  return random_.Unit() * load_[own].arriving <
         pool.admit * Arriving(0) - Arriving(Value(own) * (late ? set_.classes[own].late_value : 1));
}

bool Admission::Crowded(Micros now) const {
  if (set_.max_open_requests <= 0) return false;
  double share = kCrowded;
  if (succeeds_) {
    Micros longest = 1;
    for (const RequestClass& c : set_.classes) longest = std::max(longest, c.latency_target);
    const double grown = static_cast<double>(now - first_arrival_) / static_cast<double>(longest);
    share = kCrowdedFirst + (kCrowded - kCrowdedFirst) * std::min(grown, 1.0);
  }
  return static_cast<double>(open_) > share * static_cast<double>(set_.max_open_requests);
}

// Little's law: what is out is what is answered in a second times the time of an answer. At the knee's time
// for each, it is as much as the servers can carry, whatever they are and however many share them. The slack
// is for chance, as the counts of arrivals spread by the root of their mean. Before there is a rate to go by
// it starts as TCP does: ten (RFC 6928) and one more for each timely answer.
double Admission::MostOut(const Pool& pool) const {
  return pool.carries + kChance * std::sqrt(pool.carries) + kLeastOut;
}

bool Admission::HasRoom(const Pool& pool) const { return pool.out < MostOut(pool); }

void Admission::CountWindow(Pool& pool, Micros now) {
  pool.pressed = pool.pressed || 2 * pool.out > MostOut(pool);
  if (pool.window_began == 0) pool.window_began = now;
  const Micros passed = now - pool.window_began;
  if (passed < window_) return;
  const double carried = pool.answered / static_cast<double>(std::max<Micros>(passed, 1));
  // A lull says nothing of what the servers can do.
  if (pool.starting && carried > 0)
    pool.carries = carried;
  else if (carried > pool.carries || (pool.pressed && !pool.starting))
    pool.carries = std::max(carried, pool.carries * (pool.taken > pool.answered ? kLateFall : kTimelyFall));
  // Where nothing is sent nothing is learnt: an idle pool opens by itself until the next answers tell.
  if (carried <= 0 && pool.out <= 0) pool.admit = std::max(pool.admit, std::min(2 * pool.admit, 1.0));
  pool.starting = pool.starting && pool.answered <= 0;
  pool.answered = 0;
  pool.taken = 0;
  pool.window_began = now;
  pool.pressed = false;
}

bool Admission::WorthCrossing(std::size_t own) const {
  return Worth(own) >= set_.price_cross_zone * mean_worth_;
}

// Work that arrived lately and is worth more than `value`.
double Admission::Arriving(double value) const {
  double sum = 0;
  for (std::size_t i = 0; i < load_.size(); ++i)
    if (Value(i) > value) sum += load_[i].arriving;
  return sum;
}

double Admission::Target(std::size_t own) const {
  const double latency_target = static_cast<double>(std::max<Micros>(set_.classes[own].latency_target, 1));
  const double unloaded = load_[own].unloaded;
  if (unloaded <= 0) return kTimely * latency_target;
  return std::max(std::min(kKnee * unloaded, kTimely * latency_target), kHeadroom * unloaded);
}

double Admission::Worth(std::size_t i) const {
  return set_.classes[i].value * (set_.value_by_work ? load_[i].work : 1);
}

// What the result gains by a unit of that class's work, in shares: by the whole, and for the class that is
// served worst also by the part of the goal that looks at it alone. So no class is starved for another's
// worth, and what is dear goes first as far as the goal says so.
double Admission::Value(std::size_t i) const {
  double all = 0;
  for (std::size_t k = 0; k < load_.size(); ++k) all += Worth(k) * load_[k].arriving / load_[k].work;
  const double whole = (1 - set_.goal_worst_class) * Worth(i) / (load_[i].work * std::max(all, 1e-9));
  return whole + (i == worst_ ? set_.goal_worst_class / std::max(load_[i].arriving, 1e-9) : 0);
}

void Admission::CountEnd(std::size_t own, double worth_share) {
  --open_;
  load_[own].served += (worth_share - load_[own].served) / kMixMemory;
  // With a margin: were it the other of two equals after each refusal, each would be refused as its turn
  // comes.
  for (std::size_t i = 0; i < load_.size(); ++i)
    if (load_[i].arriving > 0 && load_[i].served < load_[worst_].served - kServedKnown) worst_ = i;
}

void Admission::Learn(std::size_t own, double elapsed, bool all_in) {
  ClassLoad& load = load_[own];
  load.answers = std::min(load.answers + 1, kUsualMemory);
  load.usual += (elapsed - load.usual) / load.answers;
  if (!hinted_) load.work = std::max(load.usual, 1.0);
  if (load.answers < kUsualFirst) return;
  if (load.unloaded <= 0 || load.usual < load.unloaded)
    load.unloaded = load.usual;
  else if (all_in)
    load.unloaded += (load.usual - load.unloaded) / kUnloadedMemory;
  // Who begins in an overload has seen no idle server: nothing that is late is taken for one.
  const double latency_target = static_cast<double>(std::max<Micros>(set_.classes[own].latency_target, 1));
  load.unloaded = std::min(load.unloaded, kTimely * latency_target);
}

void Admission::Feel(Pool& pool, std::size_t own, const Outcome& outcome, Micros since_arrival,
                     const Server& server) {
  const double worst =
      kAdmitWorst * static_cast<double>(std::max<Micros>(set_.classes[own].latency_target, 1));
  double elapsed = std::min(static_cast<double>(std::max(outcome.elapsed, since_arrival)), worst);
  if (outcome.result == Result::kSuccess) {
    pool.answered += Target(own);
    pool.taken += elapsed;
    if (pool.starting && elapsed < Target(own)) ++pool.carries;
    Learn(own, static_cast<double>(outcome.elapsed), pool.admit >= 1);
  } else if (outcome.result == Result::kTimeout ||
             (outcome.result == Result::kRejected && !RefusesOneClass(server))) {
    elapsed = worst;
  } else {
    return;  // says nothing of load
  }
  const double step = kAdmitStep * (1 - std::min(elapsed / Target(own), kOneAnswerMost));
  // The less is let in, the fewer outcomes there are to recover by: each counts for more then.
  pool.admit = std::clamp(pool.admit + (step > 0 ? step / std::max(pool.admit, kRecoverAt) : step),
                          kAdmitLeast, kAdmitMost);
}

}  // namespace violetwing::balancer
