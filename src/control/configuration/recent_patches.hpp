// The latest patches of the configuration, so that a sidecar that holds a recent version is sent what changed
// since in place of the whole document. A cache of one process: it is in no snapshot, and after a restart it
// holds what the log has led to since.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace violetwing::configuration {

class RecentPatches {
 public:
  // Bytes of all patches that are kept. A whole document has up to some hundred kB.
  static constexpr std::size_t kMostBytes = std::size_t{64} * 1024;

  // `patch` led from version `base` to `version`.
  void Add(std::int64_t base, std::int64_t version, std::string patch);
  // The latest version came by other means than a patch.
  void Clear();
  // What leads from `version` to the latest one, in that order; nothing if not all of it is kept.
  std::optional<std::vector<std::string>> Since(std::int64_t version) const;

 private:
  struct Patch {
    std::int64_t base = 0;
    std::int64_t version = 0;
    std::string text;
  };

  std::deque<Patch> patches_;  // each builds upon the version of the one before
  std::size_t bytes_ = 0;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_
