#include "lab/server/core.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::lab {

double WarmShare(const ServerSpec& spec, Micros since) {
  if (spec.cold <= 0 || since >= spec.cold) return 1;
  const double done = static_cast<double>(std::max<Micros>(since, 0)) / static_cast<double>(spec.cold);
  return spec.cold_from + (1 - spec.cold_from) * done;
}

double ColdBudget(const ServerSpec& spec, Micros since_start) {
  return spec.fall_multiple * spec.cores * spec.speed * WarmShare(spec, since_start) *
         static_cast<double>(spec.fall);
}

double FallBound(const ServerSpec& spec, Micros since_start) {
  const double n = ColdBudget(spec, since_start) / spec.mean_work_us;
  return (n + 2 * std::sqrt(n) + 2) * spec.mean_work_us;
}

void ServerCore::Start(Micros now, bool cold) {
  Stop();
  up_ = true;
  fallen_ = false;
  draining_ = false;
  cold_start_ = cold;
  started_ = now;
  time_ = now;
}

void ServerCore::Stop() {
  up_ = false;
  waiting_.clear();
  running_ = {};
  connections_ = 0;
  choked_ = false;
  crowded_since_.reset();
  idle_since_.reset();
  sent_cold_.clear();
  sent_cold_sum_ = 0;
}

double ServerCore::Share() const {
  const double table = spec_.connections > 0 ? static_cast<double>(connections_) / spec_.connections : 0;
  const int running = static_cast<int>(running_.size());
  const double cores = running > spec_.cores ? static_cast<double>(spec_.cores) / running : 1;
  return spec_.speed * cores * (1 - spec_.full_tax * table) / slow_ / (choked_ ? spec_.choke.slower : 1);
}

// The area under the warm-up's line, which is straight until it is warm and level after.
double ServerCore::Progress(Micros from, Micros to) const {
  const double share = Share();
  if (!cold_start_) return share * static_cast<double>(to - from);
  const Micros warm_at = std::clamp(started_ + spec_.cold, from, to);
  const double ramp = static_cast<double>(warm_at - from) *
                      (WarmShare(spec_, from - started_) + WarmShare(spec_, warm_at - started_)) / 2;
  return share * (ramp + static_cast<double>(to - warm_at));
}

Micros ServerCore::TimeOf(double progress) const {
  const double area = std::max(progress, 0.0) / Share();
  double wait = area;
  if (cold_start_ && time_ < started_ + spec_.cold) {
    const double level = WarmShare(spec_, time_ - started_);
    const double slope = (1 - spec_.cold_from) / static_cast<double>(spec_.cold);
    const double left = static_cast<double>(started_ + spec_.cold - time_);
    const double on_ramp = left * (level + 1) / 2;
    // level * wait + slope * wait^2 / 2 = area, written so that a slope of nothing divides by nothing.
    wait = area > on_ramp ? left + area - on_ramp
                          : 2 * area / (level + std::sqrt(level * level + 2 * slope * area));
  }
  return time_ + static_cast<Micros>(std::ceil(wait));
}

void ServerCore::MoveTo(Micros time) {
  if (time <= time_) return;
  progress_ += Progress(time_, time);
  time_ = time;
}

void ServerCore::Begin(std::vector<Done>& done) {
  while (!waiting_.empty() && running() < Slots()) {
    const Job job = waiting_.front();
    waiting_.pop_front();
    if (!job.handshake && spec_.drops_expired && job.expires <= time_) {
      done.push_back({job.id, Answer::kDeclinedExpired, time_});
      continue;
    }
    running_.push({progress_ + job.work, order_++, job});
  }
  WatchChoke();
}

void ServerCore::WatchChoke() {
  const Choke& choke = spec_.choke;
  if (choke.at <= 0) return;
  const bool crowded = waiting() > choke.at * spec_.cores;
  const bool idle = waiting() + running() <= choke.below * spec_.cores;
  if (!choked_) {
    if (!crowded) {
      crowded_since_.reset();
    } else if (!crowded_since_) {
      crowded_since_ = time_;
    } else if (time_ - *crowded_since_ >= choke.over) {
      choked_ = true;
      choked_at_ = time_;
      crowded_since_.reset();
    }
    return;
  }
  if (!idle) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = time_;
  }
  if ((idle_since_ && time_ - *idle_since_ >= choke.rest) || time_ - choked_at_ >= choke.most) {
    choked_ = false;
    idle_since_.reset();
  }
}

std::optional<Micros> ServerCore::ChokeChange() const {
  if (choked_) {
    const Micros latest = choked_at_ + spec_.choke.most;
    return idle_since_ ? std::min(latest, *idle_since_ + spec_.choke.rest) : latest;
  }
  if (crowded_since_) return *crowded_since_ + spec_.choke.over;
  return std::nullopt;
}

std::optional<Micros> ServerCore::Next() const {
  if (!up_) return std::nullopt;
  std::optional<Micros> next = ChokeChange();
  if (!running_.empty()) {
    const Micros finish = TimeOf(running_.top().finish - progress_);
    next = next ? std::min(*next, finish) : finish;
  }
  return next ? std::optional(std::max(*next, time_)) : next;
}

std::vector<ServerCore::Done> ServerCore::Advance(Micros now) {
  std::vector<Done> done;
  if (!up_) return done;
  for (std::optional<Micros> next = Next(); next && *next <= now; next = Next()) {
    MoveTo(*next);
    // Rounding up to a whole microsecond has done a little more than was to be done; a thousandth covers the
    // float.
    while (!running_.empty() && running_.top().finish <= progress_ + 1e-3) {
      const Job job = running_.top().job;
      running_.pop();
      if (!job.handshake) done.push_back({job.id, job.fails ? Answer::kError : Answer::kServed, time_});
    }
    Begin(done);
  }
  MoveTo(now);
  return done;
}

void ServerCore::CountCold(double work_us) {
  if (!cold_start_ || time_ >= started_ + spec_.cold) return;
  sent_cold_.emplace_back(time_, work_us);
  sent_cold_sum_ += work_us;
  while (sent_cold_.front().first <= time_ - spec_.fall) {
    sent_cold_sum_ -= sent_cold_.front().second;
    sent_cold_.pop_front();
  }
  if (sent_cold_sum_ > FallBound(spec_, time_ - started_)) {
    Stop();
    fallen_ = true;
  }
}

std::optional<ServerCore::Answer> ServerCore::Offer(Micros now, std::uint64_t job, double work_us,
                                                    Micros expires, bool fails) {
  MoveTo(now);
  if (!up_) return std::nullopt;
  CountCold(work_us);
  if (fallen_) return std::nullopt;
  if (draining_) return Answer::kDeclinedDraining;
  if (running() >= Slots() && waiting() >= spec_.queue_per_core * spec_.cores) return Answer::kDeclinedFull;
  waiting_.push_back({job, work_us, expires, fails, false});
  std::vector<Done> done;
  Begin(done);
  // One that came overdue, and found a free slot.
  for (const Done& one : done)
    if (one.job == job) return one.answer;
  return std::nullopt;
}

bool ServerCore::Connect(Micros now) {
  MoveTo(now);
  if (!up_ || connections_ >= spec_.connections) return false;
  ++connections_;
  waiting_.push_front({0, spec_.handshake_us, 0, false, true});
  std::vector<Done> none;
  Begin(none);
  return true;
}

void ServerCore::Disconnect(Micros now) {
  MoveTo(now);
  connections_ = std::max(0, connections_ - 1);
}

void ServerCore::Slow(Micros now, double factor) {
  MoveTo(now);
  slow_ = factor;
}

bool KeyMemory::Seen(Micros now, const std::string& key) {
  while (!ages_.empty() && ages_.front().first <= now - window_) {
    first_.erase(ages_.front().second);
    ages_.pop_front();
  }
  return first_.count(key) > 0;
}

void KeyMemory::Keep(Micros now, const std::string& key) {
  if (first_.emplace(key, now).second) ages_.emplace_back(now, key);
}

}  // namespace violetwing::lab
