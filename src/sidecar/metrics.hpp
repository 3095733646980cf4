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
  enum class End { kCompleted, kRejected, kFailed };

  explicit Metrics(const std::vector<RequestClass>& classes);

  void Taken() { ++pending_; }
  void Ended(int request_class, End end);
  void ClientLeft() { --pending_; }  // before its answer: its request ended as none of the three
  void AttemptWritten() { ++upstream_requests_; }

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
