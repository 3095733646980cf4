#include "dataplane/load_balancing/outlier_detection.hpp"

#include <algorithm>

namespace violetwing {
namespace {

constexpr int kUnreachableThreshold = 1;
constexpr int kFailureThreshold = 3;
constexpr Micros kBaseEjection = 500'000;
constexpr Micros kMaxEjection = 8'000'000;
constexpr int kMaxDoublings = 5;  // enough to exceed kMaxEjection; prevents overflow of the shift

}  // namespace

void OutlierDetector::OnSuccess() {
  consecutive_failures_ = 0;
  ejected_until_ = 0;
}

void OutlierDetector::OnFailure(FailureKind kind, Micros now) {
  const int threshold = kind == FailureKind::kUnreachable ? kUnreachableThreshold : kFailureThreshold;
  ++consecutive_failures_;
  const int doublings = consecutive_failures_ - threshold;
  if (doublings < 0) return;
  ejected_until_ = now + std::min(kMaxEjection, kBaseEjection << std::min(doublings, kMaxDoublings));
}

}  // namespace violetwing
