// The latest patches of the configuration, so that a sidecar that holds a recent version is sent what changed
// since instead of the whole document. A cache of one process: it is not part of snapshots, and after a
// restart it holds the patches that were applied since.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace violetwing::configuration {

/// A sequence of patches, each of which builds upon the version of the one before. Not thread-safe.
class RecentPatches {
 public:
  /// Total size of the patches kept. A whole document has up to some hundred kB.
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;

  /// `patch` led from version `base` to `version`.
  void Add(std::int64_t base, std::int64_t version, std::string patch);
  /// The latest version was not the result of a patch.
  void Clear();
  /// The patches that lead from `version` to the latest one, in order; `nullopt` if one of them is not kept.
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
