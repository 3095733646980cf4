// Counts of started requests, which sidecars report to control processes.
#ifndef VIOLETWING_MESSAGES_USAGE_HPP_
#define VIOLETWING_MESSAGES_USAGE_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace violetwing {

/// The number of requests of one tenant that one reporter has seen start within one window so far. Counts
/// only increase, so the maximum of several reports is correct even if they arrive out of order or
/// repeatedly.
struct UsageCount {
  std::int64_t window = 0;  ///< window number: the window starts `window` window lengths after the Unix epoch
  std::string tenant;
  std::uint64_t count = 0;
};

/// The counts of one reporter.
struct UsageReport {
  std::string reporter;  ///< unique for each run of a sidecar
  std::vector<UsageCount> counts;
};

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_USAGE_HPP_
