// The digests of the latest accepted changes, so that a change that is sent again is acknowledged again. They
// are part of every snapshot, so their number is bounded.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_ACCEPTED_CHANGES_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_ACCEPTED_CHANGES_HPP_

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "control/configuration/change.hpp"

namespace violetwing::configuration {

/// XXH3 hash of a change's kind, base version and body: 128 bits in hexadecimal. It is stored in snapshots.
std::string DigestOf(const Change& change);

/// Not thread-safe.
class AcceptedChanges {
 public:
  /// Number of digests kept. More than a day of changes at the size aimed at (790); some 48 kB in a snapshot.
  static constexpr std::size_t kMaxEntries = 1024;

  /// Adds a change that led to `version`, which is above that of all calls before. Drops the oldest digests
  /// beyond `kMaxEntries`.
  void Add(const std::string& digest, std::int64_t version);
  /// Whether the change was accepted and is not forgotten.
  bool Contains(const std::string& digest) const;
  /// The latest version whose change is forgotten, 0 if none is. Whether a change that builds upon an older
  /// version than this one was accepted is unknown.
  std::int64_t horizon() const { return horizon_; }
  /// Number of digests kept.
  std::size_t size() const { return changes_.size(); }

  /// The stored form: the version by digest.
  std::map<std::string, std::int64_t> Save() const;
  /// Replaces the contents by a stored form.
  void Load(const std::map<std::string, std::int64_t>& saved, std::int64_t horizon);

 private:
  struct Entry {
    std::string digest;
    std::int64_t version = 0;
  };
  struct ByDigest;
  struct ByVersion;
  using Changes = boost::multi_index_container<
      Entry,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<boost::multi_index::tag<ByDigest>,
                                            boost::multi_index::member<Entry, std::string, &Entry::digest>>,
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<ByVersion>,
              boost::multi_index::member<Entry, std::int64_t, &Entry::version>>>>;

  Changes changes_;
  std::int64_t horizon_ = 0;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_ACCEPTED_CHANGES_HPP_
