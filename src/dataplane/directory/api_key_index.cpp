#include "dataplane/directory/api_key_index.hpp"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>

namespace violetwing {
namespace {

std::uint64_t KeyDigest(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

// The running time does not depend on where keys of equal length differ, against timing attacks.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference |= static_cast<unsigned>(static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]));
  return difference == 0;
}

}  // namespace

ApiKeyIndex::ApiKeyIndex(const configuration::Configuration& configuration)
    : required_(!configuration.tenants.empty()) {
  for (const configuration::Tenant& tenant : configuration.tenants)
    for (const std::string& key : tenant.api_keys) by_digest_.emplace(KeyDigest(key), Entry{key, &tenant});
}

const configuration::Tenant* ApiKeyIndex::Find(std::string_view key) const {
  const auto [begin, end] = by_digest_.equal_range(KeyDigest(key));
  const configuration::Tenant* found = nullptr;
  for (auto it = begin; it != end; ++it)
    if (EqualInConstantTime(it->second.key, key)) found = it->second.tenant;
  return found;
}

}  // namespace violetwing
