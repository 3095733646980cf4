#include "registry/agent/core.hpp"

#include <algorithm>

namespace violetwing::registry {
namespace {

constexpr Micros kFirstWait = 100'000;

}  // namespace

void LeaseCore::Want(Micros now, Wanted wanted) {
  if (wanted_ == wanted) return;
  wanted_ = wanted;
  failures_ = 0;
  next_ = now;
  if (wanted != Wanted::kGone) return;
  leaves_by_ = now + settings_.drain + settings_.leave;
  if (known_ == Known::kDraining) {
    drained_at_ = now;
    next_ = now + settings_.drain;
  }
}

void LeaseCore::Changed(Micros now) {
  known_ = Known::kNothing;
  next_ = now;
}

std::optional<LeaseCore::Ask> LeaseCore::Due(Micros now) {
  if (out_ || ended_ || now < next_) return std::nullopt;
  if (wanted_ == Wanted::kGone && now >= leaves_by_) {
    End(1, "no registry took the entry out; its lease ends by itself");
    return std::nullopt;
  }
  out_ = true;
  asked_ = Asked();
  // What was never told, or is lost to its registry, has nothing to drain.
  if (wanted_ == Wanted::kGone && (drained_at_ != 0 || known_ == Known::kNothing)) return Ask::kDeregister;
  return known_ == asked_ ? Ask::kRenew : Ask::kPut;
}

void LeaseCore::OnAnswer(Micros now, Ask ask, Heard heard, std::optional<std::size_t> go_to) {
  out_ = false;
  switch (heard) {
    case Heard::kDone:
      failures_ = 0;
      conflict_since_.reset();
      if (ask == Ask::kDeregister) return End(0, "");
      if (ask == Ask::kPut) known_ = asked_;
      if (known_ != Asked()) {  // another thing is wanted since
        next_ = now;
      } else if (wanted_ == Wanted::kGone) {
        drained_at_ = now;
        next_ = now + settings_.drain;
      } else {
        next_ = now + static_cast<Micros>(static_cast<double>(settings_.term) * random_.Uniform(0.3, 0.36));
      }
      return;
    case Heard::kUnknown:
      if (ask == Ask::kDeregister) return End(0, "");
      known_ = Known::kNothing;
      next_ = now;
      return;
    case Heard::kConflict:
      return OnConflict(now);
    case Heard::kElsewhere:
    case Heard::kNobody:
      registry_ = go_to ? *go_to : (registry_ + 1) % settings_.registries;
      if (!go_to) return Wait(now);
      next_ = now;
      // Two that name each other would be asked without a pause.
      if (++failures_ > 2) Wait(now);
      return;
    case Heard::kRefused:
      return End(1, "the registry refuses the entry");
  }
}

// The lease of a process that died runs to its end; one that lives renews it.
void LeaseCore::OnConflict(Micros now) {
  if (wanted_ == Wanted::kGone) return End(1, "another process holds the lease");
  known_ = Known::kNothing;
  if (!conflict_since_) conflict_since_ = now;
  if (now - *conflict_since_ > 2 * settings_.term) return End(1, "another process holds the lease");
  next_ = now + settings_.term / 5;
}

void LeaseCore::Wait(Micros now) {
  const Micros most = std::min(kFirstWait << std::min(failures_++, 10), settings_.term / 6);
  next_ = now + static_cast<Micros>(random_.Uniform(0, static_cast<double>(most)));
}

}  // namespace violetwing::registry
