#include "control/configuration/accepted_changes.hpp"

#include <xxhash.h>

#include <cstdio>

namespace violetwing::configuration {

std::string DigestOf(const Change& change) {
  const std::string kind = change.patch ? "patch " : "put ";
  const std::string text = kind + std::to_string(change.base_version) + "\n" + change.body;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  char out[33];  // 32 hexadecimal digits and the terminating null
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return out;
}

void AcceptedChanges::Add(const std::string& digest, std::int64_t version) {
  changes_.insert({digest, version});
  auto& by_version = changes_.get<ByVersion>();
  while (by_version.size() > kMaxEntries) {
    horizon_ = by_version.begin()->version;
    by_version.erase(by_version.begin());
  }
}

bool AcceptedChanges::Contains(const std::string& digest) const { return changes_.count(digest) > 0; }

std::map<std::string, std::int64_t> AcceptedChanges::Save() const {
  std::map<std::string, std::int64_t> saved;
  for (const Entry& entry : changes_) saved[entry.digest] = entry.version;
  return saved;
}

void AcceptedChanges::Load(const std::map<std::string, std::int64_t>& saved, std::int64_t horizon) {
  changes_.clear();
  horizon_ = horizon;
  std::map<std::int64_t, std::string> by_version;
  for (const auto& [digest, version] : saved) by_version[version] = digest;
  for (const auto& [version, digest] : by_version) Add(digest, version);
}

}  // namespace violetwing::configuration
