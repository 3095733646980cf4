#include "dataplane/load_balancing/outlier_detection.hpp"

#include <algorithm>

namespace violetwing {
namespace {

constexpr int kUnreachableToEject = 1;
constexpr int kFailuresToEject = 3;
constexpr Micros kBaseEjection = 500'000;
constexpr Micros kMaxEjection = 8'000'000;
constexpr int kMaxDoublings = 5;  // beyond the cap; keeps the shift small

}  // namespace

void OutlierDetector::OnSuccess() {
  consecutive_failures_ = 0;
  ejected_until_ = 0;
}

void OutlierDetector::OnFailure(FailureKind kind, Micros now) {
  const int threshold = kind == FailureKind::kUnreachable ? kUnreachableToEject : kFailuresToEject;
  ++consecutive_failures_;
  const int doublings = consecutive_failures_ - threshold;
  if (doublings < 0) return;
  ejected_until_ = now + std::min(kMaxEjection, kBaseEjection << std::min(doublings, kMaxDoublings));
}

}  // namespace violetwing
