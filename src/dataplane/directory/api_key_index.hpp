// Index of a configuration's API keys and their tenants. Sans-I/O: holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_DIRECTORY_API_KEY_INDEX_HPP_
#define VIOLETWING_DATAPLANE_DIRECTORY_API_KEY_INDEX_HPP_

#include <string_view>
#include <unordered_map>

#include "control/configuration/configuration.hpp"

namespace violetwing {

/// Finds the tenant of a key. Lookup time reveals nothing about the configured keys: they are looked up by
/// digest and compared in constant time. The configuration owns the tenants and must outlive the index.
/// Immutable.
class ApiKeyIndex {
 public:
  ApiKeyIndex() = default;
  /// Indexes the keys of `configuration`.
  explicit ApiKeyIndex(const configuration::Configuration& configuration);

  /// Whether requests need a key, which they do if the configuration has tenants.
  bool IsRequired() const { return required_; }
  /// Returns the tenant that owns `key`, or null.
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
