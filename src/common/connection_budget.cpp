#include "common/connection_budget.hpp"

#include <utility>

namespace violetwing {

ConnectionClaim::ConnectionClaim(ConnectionBudget& budget, std::function<void(Eviction)> give_way, Micros now)
    : budget_(budget), give_way_(std::move(give_way)), phase_began_(now) {
  auto& idle = budget_.InPhase(phase_);
  position_ = idle.insert(idle.end(), this);
  ++budget_.connections_;
}

ConnectionClaim::~ConnectionClaim() { Release(); }

void ConnectionClaim::Enter(ConnectionPhase phase, Micros now) {
  if (released_ || phase == phase_) return;
  auto& to = budget_.InPhase(phase);
  to.splice(to.end(), budget_.InPhase(phase_), position_);
  phase_ = phase;
  phase_began_ = now;
}

bool ConnectionClaim::Resize(std::size_t bytes, Micros now) {
  if (released_) return false;
  if (bytes > bytes_ && !budget_.MakeRoom(*this, bytes, now)) return false;
  budget_.Count(*this, bytes);
  return true;
}

void ConnectionClaim::Release() {
  if (std::exchange(released_, true)) return;
  budget_.Count(*this, 0);
  budget_.InPhase(phase_).erase(position_);
  --budget_.connections_;
}

void ConnectionBudget::Count(ConnectionClaim& claim, std::size_t bytes) {
  bytes_ += bytes - claim.bytes_;
  if (IsLarge(claim.bytes_)) large_bytes_ -= claim.bytes_;
  if (IsLarge(bytes)) large_bytes_ += bytes;
  claim.bytes_ = bytes;
}

bool ConnectionBudget::Fits(const ConnectionClaim& claim, std::size_t bytes) const {
  if (bytes_ - claim.bytes_ + bytes > limits_.max_bytes) return false;
  if (!IsLarge(bytes)) return true;
  const std::size_t other_large = IsLarge(claim.bytes_) ? large_bytes_ - claim.bytes_ : large_bytes_;
  return other_large + bytes <= max_claim_bytes();
}

bool ConnectionBudget::MakeRoom(const ConnectionClaim& claim, std::size_t bytes, Micros now) {
  if (IsLarge(bytes) && bytes > max_claim_bytes()) return false;
  while (!Fits(claim, bytes)) {
    ConnectionClaim* victim = FindOverdue(&claim, VictimSize::kLarge, now);
    if (victim == nullptr && !IsLarge(bytes)) victim = FindOverdue(&claim, VictimSize::kAny, now);
    if (victim == nullptr) return false;
    victim->evicted_ = true;
    victim->give_way_(Eviction::kMemory);
  }
  return true;
}

ConnectionClaim* ConnectionBudget::FindOverdue(const ConnectionClaim* except, VictimSize size, Micros now) {
  ConnectionClaim* oldest = nullptr;
  for (const ConnectionPhase phase : {ConnectionPhase::kReading, ConnectionPhase::kWriting})
    for (ConnectionClaim* claim : InPhase(phase)) {
      if (now - claim->phase_began_ < kMinPhaseTime) break;
      if (claim == except || claim->evicted_ || claim->bytes_ == 0) continue;
      if (size == VictimSize::kLarge && !IsLarge(claim->bytes_)) continue;
      if (oldest == nullptr || claim->phase_began_ < oldest->phase_began_) oldest = claim;
      break;
    }
  return oldest;
}

bool ConnectionBudget::AdmitConnection(Micros now) {
  while (connections_ >= limits_.max_connections) {
    ConnectionClaim* victim = nullptr;
    for (const ConnectionPhase phase : {ConnectionPhase::kClosing, ConnectionPhase::kIdle})
      if (victim == nullptr && !InPhase(phase).empty()) victim = InPhase(phase).front();
    if (victim == nullptr) victim = FindOverdue(nullptr, VictimSize::kAny, now);
    if (victim == nullptr) return false;
    victim->Release();
    victim->give_way_(Eviction::kConnection);
  }
  return true;
}

}  // namespace violetwing
