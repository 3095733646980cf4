// The digests of the most recently accepted changes, which identify a retried change so that it is
// acknowledged again instead of being applied twice. The digests are part of every snapshot, so their number
// is bounded.
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

/// Returns the 128-bit XXH3 hash of a change's kind, base version and body in hexadecimal. Snapshots store
/// it, so it must not change.
std::string DigestOf(const Change& change);

/// A bounded set of digests, of which the oldest are evicted first. Not thread-safe.
class AcceptedChanges {
 public:
  /// Maximum number of digests. Covers more than a day of changes of the target deployment (790 a day); takes
  /// about 48 kB in a snapshot.
  static constexpr std::size_t kMaxEntries = 1024;

  /// Adds the change that produced `version`, which must be above the versions of all earlier calls. Evicts
  /// the oldest digests beyond `kMaxEntries`.
  void Add(const std::string& digest, std::int64_t version);
  /// Returns whether the change was accepted and its digest has not been evicted.
  bool Contains(const std::string& digest) const;
  /// The highest version whose digest has been evicted; 0 if there is none. For a change based on a version
  /// below this one, it is unknown whether the change was accepted.
  std::int64_t horizon() const { return horizon_; }
  /// Current number of digests.
  std::size_t size() const { return changes_.size(); }

  /// Returns the versions by digest, in the form that snapshots store.
  std::map<std::string, std::int64_t> Save() const;
  /// Replaces the contents with the result of an earlier `Save` and its horizon.
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
