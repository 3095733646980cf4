// The most recent configuration patches, which are sent to a sidecar with a recent version instead of the
// complete document. This is a per-process cache: it is not part of snapshots, and after a restart it holds
// only the patches applied since then.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace violetwing::configuration {

/// A sequence of patches, each based on the version that the previous one produced. Not thread-safe.
class RecentPatches {
 public:
  /// Maximum total size of the patches. A complete document has up to a few hundred kB.
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;

  /// Adds the patch that produced `version` from `base`. Removes all earlier patches first if the latest one
  /// did not produce `base`. Evicts the oldest patches beyond `kMaxBytes`.
  void Add(std::int64_t base, std::int64_t version, std::string patch);
  /// Removes all patches. To be called when a new version was not produced by a patch.
  void Clear();
  /// Returns the patches from `version` to the latest version, in order; `nullopt` if `version` is the latest
  /// or one of the patches is not available.
  std::optional<std::vector<std::string>> Since(std::int64_t version) const;

 private:
  struct Patch {
    std::int64_t base = 0;
    std::int64_t version = 0;
    std::string text;
  };

  std::deque<Patch> patches_;  // each is based on the version of its predecessor
  std::size_t bytes_ = 0;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_RECENT_PATCHES_HPP_
