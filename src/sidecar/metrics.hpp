// The figures that operators fetch: counters from the start of the process on.
#ifndef VIOLETWING_SIDECAR_METRICS_HPP_
#define VIOLETWING_SIDECAR_METRICS_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "sidecar/balancer_types.hpp"

namespace violetwing::sidecar {

class Metrics {
 public:
  enum class RequestOutcome { kCompleted, kRejected, kFailed };

  explicit Metrics(const std::vector<RequestClass>& classes);

  void RequestReceived() { ++pending_; }
  void RequestEnded(int request_class, RequestOutcome end);
  void ClientDisconnected() { --pending_; }  // before its answer: its request ended as none of the three
  void AttemptSent() { ++upstream_requests_; }

  // One `name=value` a line.
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
