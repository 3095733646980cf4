// The model servers that a control process knows, by their heartbeats at this process and at its peers. Soft
// state: a restarted process learns it anew from its peers and from the servers.
//
// Each change of a record carries a version: the incarnation of the process that made the change, and a
// counter of that process. What a reader lacks follows from its version vector, the last counter that it
// knows of each incarnation (anti-entropy by version vectors). A core: it holds no clock, socket, file or
// thread.
#ifndef VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_
#define VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// Times are in microseconds of one steady clock.
class InstanceTable {
 public:
  /// One instance. `id` and `address` repeat those of `instance`: the table is indexed by them.
  struct Record {
    std::string id;
    std::string address;
    Instance instance;
    Micros last_seen_at = 0;       ///< last heartbeat at any control process
    Micros last_heartbeat_at = 0;  ///< last heartbeat at this process; 0: none
  };

  /// `origin`: the incarnation of this process. An instance without a heartbeat anywhere for more than
  /// `lost_after` is lost.
  InstanceTable(std::string origin, Micros lost_after)
      : origin_(std::move(origin)), lost_after_(lost_after) {}

  /// Takes a heartbeat that this process has received. False if a later one is known, which then stays.
  bool Heartbeat(Instance instance, Micros now);
  /// Takes the changes that this table lacks from those of another control process, in any order.
  void MergeChanges(const std::vector<Instance>& changed, Micros now);
  /// Takes the time of a heartbeat at another control process. Ignored for an unknown instance.
  void MergeLastSeen(const LastSeen& seen, Micros now);
  /// Sets the phase of an instance that has announced that it leaves (kDraining, kDeregistered), for good.
  void ApplyDeregistration(const std::string& id, Phase phase, Micros now);
  /// Sets the models that an instance has loaded, by its own report to this process.
  void SetModels(const std::string& id, std::vector<HeldModel> models);
  /// Marks instances as lost, and removes lost and deregistered ones after a while. To be called at short
  /// intervals. Without contact with a quorum, or after a pause between two calls, this process may be the
  /// one that receives nothing: then no instance is lost, and all count as seen now.
  void Expire(Micros now, bool has_quorum_contact);

  /// Null if the instance is not known. Valid until the next change of the table.
  const Record* Find(const std::string& id) const;
  /// The records whose last change a reader with this version vector lacks.
  std::vector<Instance> ChangedSince(const VersionVector& reader) const;
  /// Whether there are any such records.
  bool HasUpdatesFor(const VersionVector& reader) const;
  /// The instances whose heartbeats this process itself has received after `since`.
  std::vector<LastSeen> LastSeenSince(Micros since, Micros now) const;
  void ForEach(const std::function<void(const Record&)>& visit) const;
  /// The last change of each incarnation that this table contains.
  const VersionVector& version_vector() const { return version_vector_; }
  const std::string& origin() const { return origin_; }
  std::size_t size() const { return records_.size(); }

 private:
  struct ById {};
  struct ByAddress {};
  using Records = boost::multi_index_container<
      Record,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<boost::multi_index::tag<ById>,
                                            boost::multi_index::member<Record, std::string, &Record::id>>,
          boost::multi_index::hashed_non_unique<
              boost::multi_index::tag<ByAddress>,
              boost::multi_index::member<Record, std::string, &Record::address>>>>;

  // Whether the reader has seen all changes by its version vector alone.
  bool IsCoveredBy(const VersionVector& reader) const;
  void MergeRecord(const Instance& received, Micros now);
  void MergeOlder(Instance& known, Phase received, Phase merged);
  void Insert(Instance instance, Micros last_seen_at, Micros last_heartbeat_at);
  // Makes the record's last change one of this process.
  void AssignVersion(Instance& instance);
  // An address belongs to the instance that used it last: the others are deregistered.
  void DeregisterOthersAt(const std::string& address, const std::string& id, Micros now);

  const std::string origin_;
  const Micros lost_after_;
  Records records_;
  VersionVector version_vector_;
  std::uint64_t counter_ = 0;  // of this process's changes
  Micros last_expire_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_
