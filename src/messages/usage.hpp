// Counts of the requests that began to run, as sidecars report them to control processes.
#ifndef VIOLETWING_MESSAGES_USAGE_HPP_
#define VIOLETWING_MESSAGES_USAGE_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace violetwing {

/// The requests of one tenant that began to run within one window, as seen by one reporter so far. Counts
/// only rise, so that of two reports the higher one holds, in whatever order and however often they arrive.
struct UsageCount {
  std::int64_t window = 0;  ///< number of the window: it begins `window` times its length after 1970 began
  std::string tenant;
  std::uint64_t count = 0;
};

/// What one reporter has counted.
struct UsageReport {
  std::string reporter;  ///< unique to one run of a sidecar
  std::vector<UsageCount> counts;
};

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_USAGE_HPP_
