// The changes of the configuration that were taken, by digest, so that one that is sent again is acknowledged
// again. Bounded: only the latest are kept, since every snapshot carries them. Of a change that builds upon a
// version below the horizon it cannot be told whether it was taken.
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

// Of the kind of change, its base version and its bytes: 128 bits in hexadecimal.
std::string DigestOf(const Change& change);

class AcceptedChanges {
 public:
  // More than a day of changes at the size aimed at (790); some 48 kB in a snapshot.
  static constexpr std::size_t kMostKept = 1024;

  // `version` is the one that the change led to; it rises from call to call.
  void Add(const std::string& digest, std::int64_t version);
  bool Contains(const std::string& digest) const;
  // The latest version whose change is forgotten, 0 if none is. A change that builds upon an older version
  // than this one may have been taken.
  std::int64_t horizon() const { return horizon_; }
  std::size_t size() const { return changes_.size(); }

  // The stored form: the version by digest.
  std::map<std::string, std::int64_t> Save() const;
  void Load(const std::map<std::string, std::int64_t>& saved, std::int64_t horizon);

 private:
  struct Taken {
    std::string digest;
    std::int64_t version = 0;
  };
  struct ByDigest;
  struct ByVersion;
  using Changes = boost::multi_index_container<
      Taken,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<boost::multi_index::tag<ByDigest>,
                                            boost::multi_index::member<Taken, std::string, &Taken::digest>>,
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<ByVersion>,
              boost::multi_index::member<Taken, std::int64_t, &Taken::version>>>>;

  Changes changes_;
  std::int64_t horizon_ = 0;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_ACCEPTED_CHANGES_HPP_
