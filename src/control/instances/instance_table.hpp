// The model servers that a control process knows from their heartbeats to this process and to its peers. This
// is soft state: a restarted process rebuilds it from its peers and from heartbeats.
//
// Each change of a record has a version: the incarnation of the process that made the change, and a counter
// of that process. A reader's version vector holds the last counter that it knows of each incarnation, which
// determines the changes that it lacks (anti-entropy by version vectors). Contains no clock, socket, file or
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

/// Instances by id and by address. Times are in microseconds of one steady clock.
class InstanceTable {
 public:
  /// One instance. `id` and `address` are copies of those in `instance`, as keys of the indexes.
  struct Record {
    std::string id;
    std::string address;
    Instance instance;
    Micros last_seen_at = 0;       ///< time of the last heartbeat at any control process
    Micros last_heartbeat_at = 0;  ///< time of the last heartbeat at this process; 0: none
  };

  /// `origin`: the incarnation of this process. An instance is lost if no control process has received a
  /// heartbeat from it for more than `lost_after`.
  InstanceTable(std::string origin, Micros lost_after)
      : origin_(std::move(origin)), lost_after_(lost_after) {}

  /// Applies a heartbeat that this process has received. Returns false and ignores it if a later one is
  /// known.
  bool Heartbeat(Instance instance, Micros now);
  /// Merges those changes of another control process that this table lacks. They may be in any order.
  void MergeChanges(const std::vector<Instance>& changed, Micros now);
  /// Merges the time of a heartbeat at another control process. Ignored for an unknown instance.
  void MergeLastSeen(const LastSeen& seen, Micros now);
  /// Sets the phase of an instance that has announced its shutdown (kDraining or kDeregistered). Later
  /// heartbeats do not revoke it.
  void ApplyDeregistration(const std::string& id, Phase phase, Micros now);
  /// Sets the models that an instance has reported to this process as loaded.
  void SetModels(const std::string& id, std::vector<HeldModel> models);
  /// Marks instances as lost, and removes lost and deregistered instances after a retention time. Must be
  /// called at short intervals. Without quorum contact, or after a long pause between two calls, this process
  /// itself may have been unable to receive heartbeats. It then declares no instance lost and treats all as
  /// seen now.
  void Expire(Micros now, bool has_quorum_contact);

  /// Returns the record of an instance; null if it is unknown. Valid until the next change of the table.
  const Record* Find(const std::string& id) const;
  /// Returns the instances whose last change is missing in the reader's version vector.
  std::vector<Instance> ChangedSince(const VersionVector& reader) const;
  /// Returns whether `ChangedSince` would return any instance.
  bool HasUpdatesFor(const VersionVector& reader) const;
  /// Returns the instances whose last heartbeat at this process was after `since`.
  std::vector<LastSeen> LastSeenSince(Micros since, Micros now) const;
  void ForEach(const std::function<void(const Record&)>& visit) const;
  /// The counter of the last change of each incarnation that this table contains.
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

  // Returns whether the reader's version vector covers all changes of this table.
  bool IsCoveredBy(const VersionVector& reader) const;
  void MergeRecord(const Instance& received, Micros now);
  void MergeStale(Instance& known, Phase received, Phase merged);
  void Insert(Instance instance, Micros last_seen_at, Micros last_heartbeat_at);
  // Assigns the next version of this process to the record.
  void AssignVersion(Instance& instance);
  // Deregisters all other instances at an address, which belongs to the instance that used it last.
  void DeregisterOthersAt(const std::string& address, const std::string& id, Micros now);

  const std::string origin_;
  const Micros lost_after_;
  Records records_;
  VersionVector version_vector_;
  std::uint64_t counter_ = 0;  // number of changes made by this process
  Micros last_expire_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_
