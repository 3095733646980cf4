// The metrics for operators: counters since the start of the process, and gauges.
#ifndef VIOLETWING_SIDECAR_METRICS_HPP_
#define VIOLETWING_SIDECAR_METRICS_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "sidecar/balancer_types.hpp"

namespace violetwing::sidecar {

/// Counts requests by class and result.
class Metrics {
 public:
  /// How a request ended; one that its client abandoned has none of these.
  enum class RequestOutcome { kCompleted, kRejected, kFailed };

  explicit Metrics(const std::vector<RequestClass>& classes);

  /// A request counts as pending from RequestReceived until RequestEnded or ClientDisconnected.
  void RequestReceived() { ++pending_; }
  void RequestEnded(int request_class, RequestOutcome outcome);
  void ClientDisconnected() { --pending_; }  // before the response; not counted as any RequestOutcome
  /// An attempt was written to a server.
  void AttemptSent() { ++upstream_requests_; }

  /// All metrics as `name=value` lines.
  std::string Text(const Membership& membership) const;

 private:
  struct PerClass {
    std::string name;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

  std::vector<PerClass> classes_;
  std::uint64_t upstream_requests_ = 0;
  std::int64_t pending_ = 0;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_METRICS_HPP_
