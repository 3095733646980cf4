// The figures that operators fetch: counters from the start of the process on.
#ifndef MERLINRUN_NET_METRICS_HPP_
#define MERLINRUN_NET_METRICS_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

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

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_METRICS_HPP_
