#include "balancer/admission.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::balancer {
namespace {

// Each outcome changes the admitted share by this much per target latency that the response was early or
// late. So about the last 20 responses count.
constexpr double kAdmissionStep = 0.05;
// The target latency as a multiple of the unloaded latency. The power (throughput divided by response time)
// of a simple queue is greatest at twice the unloaded latency, its knee (Kleinrock 1979). A longer queue adds
// waiting time but no throughput, and on some servers lowers the throughput. The unloaded latency is
// estimated by the lowest mean so far, which is about a fifth too low.
constexpr double kKneeFactor = 2.5;
// Upper limit of the target, as a multiple of the class's latency target: the mean at which one response in
// ten misses the latency target if the times are distributed exponentially, which is 1 / ln 10.
const double kTimelyFactor = 1 / std::log(10);
// Lower limit of the target, as a multiple of the unloaded latency. Without it, low-value requests are
// rejected permanently where an idle server takes a large part of the latency target.
constexpr double kMinTargetFactor = 1.5;
// Responses over which the latency of a class is averaged, and the number needed for a first estimate of its
// unloaded latency.
constexpr double kLatencyWindow = 200;
constexpr double kMinLatencySamples = 50;
// Responses over which the unloaded latency rises to the mean latency, counted while everything is admitted.
constexpr double kUnloadedRiseWindow = 400;
// Slack of the concurrency limit for random variation, in standard deviations (square roots of the mean).
constexpr double kSlackDeviations = 1;
// A rejected or timed out attempt counts as a response time of this many latency targets.
constexpr double kFailurePenalty = 1.5;
// Maximum weight of one response, in target latencies. A connection without any response says less about the
// load than four responses at twice their target do.
constexpr double kMaxSampleRatio = 4;
// Limits of the decrease of a pool's concurrency estimate per window: to half where responses exceeded their
// target. Where they met it, less traffic has arrived, but the servers' capacity has not changed. As traffic
// is bursty, the earlier estimate then counts for some more windows, like the windowed filters of BBR
// (Cardwell 2016).
constexpr double kLateDecrease = 0.5;
constexpr double kTimelyDecrease = 0.75;
// One timely response raises the admitted share by no more than it would at this share. Overloaded servers
// recover only if they get little traffic for seconds, and a single fast response must not end that. 0.15 and
// 0.3 were tried.
constexpr double kMinRecoveryLevel = 0.15;
// Some requests are always admitted, as only their responses show the end of an overload.
constexpr double kMinAdmittedShare = 0.05;
// Timely responses raise the share up to this level, so that a single late response causes no rejection.
constexpr double kMaxAdmittedShare = 1.5;
// Above this share of max_open_requests, no request is admitted and none waits for another attempt. Otherwise
// clients run out of connections; a rejection informs them at once and advises when to retry.
constexpr double kMaxOpenShare = 0.85;
// The initial value of that share in a process that takes over from another one, whose requests are still
// open. These end within about the longest latency target; the share grows linearly over this time.
constexpr double kTakeoverOpenShare = 0.15;
// A server counts as rejecting a class above this rejected share.
constexpr double kRejectsClassShare = 0.1;
// Arrivals over which the class mix and the served share of each class are averaged, and the standard error
// of a served share of 0.9 after that many.
constexpr double kClassMixWindow = 300;
constexpr double kServedMargin = 0.02;

// A server that rejects only one of several classes has a rate limit on that class and is not overloaded.
bool RejectsOneClass(const Server& server) {
  const auto rejects = [](double share) { return share > kRejectsClassShare; };
  return server.rejected_share.size() > 1 &&
         std::count_if(server.rejected_share.begin(), server.rejected_share.end(), rejects) == 1;
}

}  // namespace

Admission::Admission(const Settings& settings, Random& random)
    : settings_(settings), random_(random), class_load_(settings.classes.size()) {
  for (const RequestClass& c : settings_.classes)
    if (c.latency_target > 0) window_ = std::min(window_, c.latency_target);
}

void Admission::CountArrival(Micros now, std::size_t request_class, std::optional<Micros> cost) {
  ++open_requests_;
  if (first_arrival_ == 0) first_arrival_ = now;
  has_cost_hints_ = has_cost_hints_ || cost.has_value();
  ClassLoad& load = class_load_[request_class];
  load.arrivals = std::min(load.arrivals + 1, kClassMixWindow);
  if (cost) load.mean_work += (static_cast<double>(*cost) - load.mean_work) / load.arrivals;
  for (ClassLoad& each : class_load_) each.arriving_work *= 1 - 1 / kClassMixWindow;
  load.arriving_work += load.mean_work;
  arrival_count_ = std::min(arrival_count_ + 1, kClassMixWindow);
  mean_value_ += (RequestValue(request_class) - mean_value_) / arrival_count_;
}

bool Admission::Admits(const Pool& pool, std::size_t request_class, bool late) {
  if (pool.admitted_share >= 1) return true;
  return random_.Unit() * class_load_[request_class].arriving_work <
         pool.admitted_share * ArrivingWork(0) -
             ArrivingWork(ValuePerWork(request_class) *
                          (late ? settings_.classes[request_class].late_value : 1));
}

bool Admission::TooManyOpen(Micros now) const {
  if (settings_.max_open_requests <= 0) return false;
  double share = kMaxOpenShare;
  if (takeover_) {
    Micros longest = 1;
    for (const RequestClass& c : settings_.classes) longest = std::max(longest, c.latency_target);
    const double grown = static_cast<double>(now - first_arrival_) / static_cast<double>(longest);
    share = kTakeoverOpenShare + (kMaxOpenShare - kTakeoverOpenShare) * std::min(grown, 1.0);
  }
  return static_cast<double>(open_requests_) > share * static_cast<double>(settings_.max_open_requests);
}

// Little's law: the number in flight is the response rate times the response time. At the target latency this
// is the servers' capacity, whatever their type and however many sidecars share them. The slack covers random
// variation, as the standard deviation of an arrival count is the square root of its mean. Before a rate is
// known, the limit starts like TCP's: ten (RFC 6928), plus one for each timely response.
double Admission::ConcurrencyLimit(const Pool& pool) const {
  return pool.concurrency + kSlackDeviations * std::sqrt(pool.concurrency) + kMinConcurrency;
}

bool Admission::BelowLimit(const Pool& pool) const { return pool.in_flight < ConcurrencyLimit(pool); }

void Admission::UpdateWindow(Pool& pool, Micros now) {
  pool.was_busy = pool.was_busy || 2 * pool.in_flight > ConcurrencyLimit(pool);
  if (pool.window_start == 0) pool.window_start = now;
  const Micros passed = now - pool.window_start;
  if (passed < window_) return;
  const double carried = pool.expected_time / static_cast<double>(std::max<Micros>(passed, 1));
  // A quiet window says nothing about the servers' capacity.
  if (pool.starting && carried > 0)
    pool.concurrency = carried;
  else if (carried > pool.concurrency || (pool.was_busy && !pool.starting))
    pool.concurrency =
        std::max(carried, pool.concurrency *
                              (pool.elapsed_time > pool.expected_time ? kLateDecrease : kTimelyDecrease));
  // An idle pool gets no responses to learn from, so its admitted share doubles until it is used again.
  if (carried <= 0 && pool.in_flight <= 0)
    pool.admitted_share = std::max(pool.admitted_share, std::min(2 * pool.admitted_share, 1.0));
  pool.starting = pool.starting && pool.expected_time <= 0;
  pool.expected_time = 0;
  pool.elapsed_time = 0;
  pool.window_start = now;
  pool.was_busy = false;
}

bool Admission::WorthCrossZone(std::size_t request_class) const {
  return RequestValue(request_class) >= settings_.price_cross_zone * mean_value_;
}

double Admission::ArrivingWork(double value) const {
  double sum = 0;
  for (std::size_t i = 0; i < class_load_.size(); ++i)
    if (ValuePerWork(i) > value) sum += class_load_[i].arriving_work;
  return sum;
}

double Admission::TargetLatency(std::size_t request_class) const {
  const double latency_target =
      static_cast<double>(std::max<Micros>(settings_.classes[request_class].latency_target, 1));
  const double unloaded = class_load_[request_class].unloaded_latency;
  if (unloaded <= 0) return kTimelyFactor * latency_target;
  return std::max(std::min(kKneeFactor * unloaded, kTimelyFactor * latency_target),
                  kMinTargetFactor * unloaded);
}

double Admission::RequestValue(std::size_t i) const {
  return settings_.classes[i].value * (settings_.value_by_work ? class_load_[i].mean_work : 1);
}

// The gain, as a fraction of the result, has two parts: that of the total, and for the worst served class
// also that of goal_worst_class. So no class is starved in favor of one with a higher value, and expensive
// requests take precedence only as far as the goals say so.
double Admission::ValuePerWork(std::size_t i) const {
  double all = 0;
  for (std::size_t k = 0; k < class_load_.size(); ++k)
    all += RequestValue(k) * class_load_[k].arriving_work / class_load_[k].mean_work;
  const double total_gain =
      (1 - settings_.goal_worst_class) * RequestValue(i) / (class_load_[i].mean_work * std::max(all, 1e-9));
  return total_gain +
         (i == worst_class_ ? settings_.goal_worst_class / std::max(class_load_[i].arriving_work, 1e-9) : 0);
}

void Admission::CountCompletion(std::size_t request_class, double value_share) {
  --open_requests_;
  class_load_[request_class].served_share +=
      (value_share - class_load_[request_class].served_share) / kClassMixWindow;
  // The margin prevents the worst class from alternating between two equally served classes with each
  // rejection, which would reject requests of both.
  for (std::size_t i = 0; i < class_load_.size(); ++i)
    if (class_load_[i].arriving_work > 0 &&
        class_load_[i].served_share < class_load_[worst_class_].served_share - kServedMargin)
      worst_class_ = i;
}

void Admission::UpdateLatency(std::size_t request_class, double elapsed, bool all_admitted) {
  ClassLoad& load = class_load_[request_class];
  load.latency_samples = std::min(load.latency_samples + 1, kLatencyWindow);
  load.mean_latency += (elapsed - load.mean_latency) / load.latency_samples;
  if (!has_cost_hints_) load.mean_work = std::max(load.mean_latency, 1.0);
  if (load.latency_samples < kMinLatencySamples) return;
  if (load.unloaded_latency <= 0 || load.mean_latency < load.unloaded_latency)
    load.unloaded_latency = load.mean_latency;
  else if (all_admitted)
    load.unloaded_latency += (load.mean_latency - load.unloaded_latency) / kUnloadedRiseWindow;
  // A sidecar that starts during an overload has seen no idle server, so a late response must not pass as the
  // unloaded latency.
  const double latency_target =
      static_cast<double>(std::max<Micros>(settings_.classes[request_class].latency_target, 1));
  load.unloaded_latency = std::min(load.unloaded_latency, kTimelyFactor * latency_target);
}

void Admission::RecordOutcome(Pool& pool, std::size_t request_class, const Outcome& outcome,
                              Micros since_arrival, const Server& server) {
  const double worst = kFailurePenalty * static_cast<double>(std::max<Micros>(
                                             settings_.classes[request_class].latency_target, 1));
  double elapsed = std::min(static_cast<double>(std::max(outcome.elapsed, since_arrival)), worst);
  if (outcome.result == Result::kSuccess) {
    pool.expected_time += TargetLatency(request_class);
    pool.elapsed_time += elapsed;
    if (pool.starting && elapsed < TargetLatency(request_class)) ++pool.concurrency;
    UpdateLatency(request_class, static_cast<double>(outcome.elapsed), pool.admitted_share >= 1);
  } else if (outcome.result == Result::kTimeout ||
             (outcome.result == Result::kRejected && !RejectsOneClass(server))) {
    elapsed = worst;
  } else {
    return;  // says nothing about load
  }
  const double step =
      kAdmissionStep * (1 - std::min(elapsed / TargetLatency(request_class), kMaxSampleRatio));
  // The lower the admitted share, the fewer outcomes there are to recover by, so each one counts for more.
  pool.admitted_share = std::clamp(
      pool.admitted_share + (step > 0 ? step / std::max(pool.admitted_share, kMinRecoveryLevel) : step),
      kMinAdmittedShare, kMaxAdmittedShare);
}

}  // namespace violetwing::balancer
