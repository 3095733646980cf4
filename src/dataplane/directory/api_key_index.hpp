// The API keys of a configuration and the tenants that hold them. A core: it holds no clock, socket, file or
// thread.
#ifndef VIOLETWING_DATAPLANE_DIRECTORY_API_KEY_INDEX_HPP_
#define VIOLETWING_DATAPLANE_DIRECTORY_API_KEY_INDEX_HPP_

#include <string_view>
#include <unordered_map>

#include "control/configuration/configuration.hpp"

namespace violetwing {

/// Finds the tenant of a key. The time that a search takes tells nothing about the configured keys: they are
/// found by a digest and compared without regard to where they differ. The configuration must outlive the
/// index, and owns the tenants. Immutable.
class ApiKeyIndex {
 public:
  ApiKeyIndex() = default;
  /// Indexes the keys of `configuration`.
  explicit ApiKeyIndex(const configuration::Configuration& configuration);

  /// Whether requests need a key: the configuration has tenants.
  bool IsRequired() const { return required_; }
  /// The tenant that holds `key`; null if none does.
  const configuration::Tenant* Find(std::string_view key) const;

 private:
  struct Entry {
    std::string_view key;
    const configuration::Tenant* tenant = nullptr;
  };

  bool required_ = false;
  std::unordered_multimap<std::uint64_t, Entry> by_digest_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_DIRECTORY_API_KEY_INDEX_HPP_
