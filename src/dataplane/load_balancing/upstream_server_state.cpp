#include "dataplane/load_balancing/upstream_server_state.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing {
namespace {

// How long a server counts as full after a rejection, and as lacking a model after kWrongServer.
constexpr Micros kFullDuration = 150'000;
constexpr Micros kModelMissingDuration = 1'500'000;
constexpr Micros kUnresponsiveAfter = 700'000;
constexpr double kReportedLoadHalfLifeMicros = 300'000;

}  // namespace

void UpstreamServerState::OnSent(Micros now) {
  ++in_flight_;
  if (awaiting_first_byte_ == 0) unresponsive_since_ = now;
  ++awaiting_first_byte_;
}

void UpstreamServerState::OnLoadReported(const ServerLoad& load, Micros now) {
  reported_ = load;
  reported_at_ = now;
}

void UpstreamServerState::OnFirstByte(Micros now) {
  awaiting_first_byte_ = std::max(0, awaiting_first_byte_ - 1);
  unresponsive_since_ = awaiting_first_byte_ > 0 ? now : 0;
}

void UpstreamServerState::OnEnd(AttemptResult result, const std::string& weights_key,
                                bool first_byte_received, Micros now) {
  if (!first_byte_received && awaiting_first_byte_ > 0) {
    --awaiting_first_byte_;
    if (awaiting_first_byte_ == 0) unresponsive_since_ = 0;
  }
  in_flight_ = std::max(0, in_flight_ - 1);
  switch (result) {
    case AttemptResult::kServed:
      return outlier_detector_.OnSuccess();
    case AttemptResult::kRejected:
      full_until_ = now + kFullDuration;
      return;
    case AttemptResult::kWrongServer:
      model_missing_until_[weights_key] = now + kModelMissingDuration;
      return;
    case AttemptResult::kUnreachable:
      return OnFailure(FailureKind::kUnreachable, now);
    case AttemptResult::kReset:
    case AttemptResult::kTimedOut:
    case AttemptResult::kError:
      return OnFailure(FailureKind::kAttemptFailure, now);
    case AttemptResult::kCancelled:
      return;
  }
}

void UpstreamServerState::OnFailure(FailureKind kind, Micros now) {
  prefix_cache_.Clear();  // the server may have restarted
  outlier_detector_.OnFailure(kind, now);
}

bool UpstreamServerState::IsUsable(const std::string& weights_key, Micros now) const {
  if (outlier_detector_.IsEjected(now)) return false;
  const auto missing = model_missing_until_.find(weights_key);
  return missing == model_missing_until_.end() || now >= missing->second;
}

bool UpstreamServerState::HasNeverLackedModel(const std::string& weights_key) const {
  return model_missing_until_.count(weights_key) == 0;
}

bool UpstreamServerState::IsUnresponsive(Micros now) const {
  return unresponsive_since_ > 0 && now - unresponsive_since_ > kUnresponsiveAfter;
}

double UpstreamServerState::Decayed(int reported, Micros now) const {
  if (reported_at_ == 0 || reported <= 0) return 0;
  return reported * std::exp2(-static_cast<double>(now - reported_at_) / kReportedLoadHalfLifeMicros);
}

}  // namespace violetwing
