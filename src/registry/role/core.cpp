#include "registry/role/core.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace violetwing::registry {

const char* Name(Role role) {
  return role == Role::kAsking ? "asking" : role == Role::kPrimary ? "primary" : "follower";
}

RoleCore::RoleCore(std::string name, std::size_t others, bool follows, Timing timing, Micros now)
    : name_(std::move(name)),
      timing_(timing),
      others_(others),
      role_(follows       ? Role::kFollower
            : others == 0 ? Role::kPrimary
                          : Role::kAsking),
      fresh_at_(now - timing.stale_after - 1) {}

void RoleCore::OnStanding(Micros now, std::size_t other, const Standing& standing, std::int64_t own) {
  others_[other] = {standing, now, true};
  if (upstream_ != other || standing.stale < 0) return;
  if (!promise_) promise_ = {standing.generation, now - standing.stale};
  OnGeneration(own);
}

void RoleCore::OnSilence(std::size_t other) { others_[other].asked = true; }

void RoleCore::OnGeneration(std::int64_t own) {
  if (!promise_ || own < promise_->generation) return;
  fresh_at_ = std::max(fresh_at_, promise_->at);
  promise_.reset();
}

const Standing* RoleCore::Heard(Micros now, std::size_t other) const {
  const Other& one = others_[other];
  return one.said && now - one.at <= timing_.answer_holds ? &*one.said : nullptr;
}

std::optional<std::size_t> RoleCore::Primary(Micros now) const {
  std::optional<std::size_t> out;
  for (std::size_t i = 0; i < others_.size(); ++i) {
    const Standing* const one = Heard(now, i);
    if (one == nullptr || one->role != Role::kPrimary) continue;
    if (!out || one->epoch() > Heard(now, *out)->epoch()) out = i;
  }
  return out;
}

void RoleCore::FromPrimary(Micros now, std::int64_t own) {
  rival_.clear();
  bool all_asked = true;
  for (std::size_t i = 0; i < others_.size(); ++i) {
    all_asked = all_asked && others_[i].asked;
    const Standing* const one = Heard(now, i);
    if (one == nullptr) continue;
    if (one->epoch() > own / kEpochUnit) {
      role_ = Role::kFollower;
      fresh_at_ = now - timing_.stale_after - 1;  // what it has is of an epoch that is over
      return;
    }
    if (one->role == Role::kPrimary && one->epoch() == own / kEpochUnit) rival_ = one->name;
  }
  if (all_asked) role_ = Role::kPrimary;
}

// Not one that follows this one, by however many others: none of them would hear of anything.
bool RoleCore::MayFollow(const Standing& other, std::int64_t own) const {
  if (std::find(other.path.begin(), other.path.end(), name_) != other.path.end()) return false;
  if (other.generation < own || other.role == Role::kAsking) return false;
  return other.role == Role::kPrimary || !other.path.empty() || other.generation > own;
}

bool RoleCore::Better(const Standing& one, const Standing& than) const {
  const auto rank = [&](const Standing& s) {
    return std::tuple(-s.epoch(), s.stale > timing_.stale_after, s.role != Role::kPrimary, s.path.size());
  };
  return rank(one) < rank(than);
}

std::optional<std::size_t> RoleCore::Choose(Micros now, std::int64_t own) const {
  std::optional<std::size_t> best;
  if (upstream_) {  // stays unless another one is better
    const Standing* const one = Heard(now, *upstream_);
    // It may be behind this one in words alone: what it said is older than what it told.
    const bool behind = one != nullptr && one->generation < own && one->epoch() == own / kEpochUnit &&
                        std::find(one->path.begin(), one->path.end(), name_) == one->path.end();
    if (one != nullptr && (behind || MayFollow(*one, own))) best = upstream_;
  }
  for (std::size_t i = 0; i < others_.size(); ++i) {
    const Standing* const one = Heard(now, i);
    if (one == nullptr || !MayFollow(*one, own)) continue;
    if (!best || Better(*one, *Heard(now, *best))) best = i;
  }
  return best;
}

void RoleCore::Decide(Micros now, std::int64_t own) {
  if (role_ != Role::kFollower) FromPrimary(now, own);
  if (role_ != Role::kFollower) return;
  const auto chosen = Choose(now, own);
  if (chosen == upstream_) return;
  upstream_ = chosen;
  promise_.reset();
}

std::string RoleCore::MayPromote(Micros now, std::int64_t epoch, std::int64_t own, bool force) const {
  if (role_ == Role::kPrimary && rival_.empty()) return "is the primary already";
  std::int64_t latest = own / kEpochUnit;
  for (const Other& one : others_)
    if (one.said) latest = std::max(latest, one.said->epoch());
  if (epoch <= latest) return "epoch: not above " + std::to_string(latest);
  if (force) return "";
  for (std::size_t i = 0; i < others_.size(); ++i) {
    const Standing* const one = Heard(now, i);
    if (one == nullptr) continue;
    if (one->role == Role::kPrimary && rival_.empty()) return one->name + " is the primary and answers";
    if (one->generation > own)
      return one->name + " has a later list: generation " + std::to_string(one->generation);
  }
  return "";
}

Micros RoleCore::Stale(Micros now) const { return role_ == Role::kFollower ? now - fresh_at_ : 0; }

Standing RoleCore::Own(Micros now, std::int64_t own, std::int64_t began_from) const {
  Standing out{name_, role_, own, began_from, {}, Stale(now)};
  if (!upstream_) return out;
  const auto& said = others_[*upstream_].said;
  if (!said) return out;
  out.path = {said->name};
  out.path.insert(out.path.end(), said->path.begin(), said->path.end());
  return out;
}

}  // namespace violetwing::registry
