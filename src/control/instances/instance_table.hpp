// The servers that a control process knows of, by their heartbeats at this process and at the others. Soft
// state: a restarted process learns it anew from the others and from the servers.
//
// Each change of a record bears the process that made it and a number that this process counts up. What a
// reader misses follows from its version vector (the last number that it knows of each process). A core: it
// holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_
#define VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "messages/instances.hpp"
#include "messages/peer.hpp"

namespace violetwing {

class InstanceTable {
 public:
  struct Record {
    std::string id;
    std::string address;
    Instance instance;
    Micros heard_at = 0;           // by any control process
    Micros heard_directly_at = 0;  // by this one; 0 if never
  };

  // `origin` names one incarnation of this process. A server that nobody has heard for `lost_after` is lost.
  InstanceTable(std::string origin, Micros lost_after)
      : origin_(std::move(origin)), lost_after_(lost_after) {}

  // A heartbeat that this process has taken. False if it is older than one that is known.
  bool Heartbeat(Instance instance, Micros now);
  // All that this table misses of what another control process knows.
  void Merge(const std::vector<Instance>& changed, Micros now);
  void Hear(const LastSeen& heard, Micros now);
  // It leaves, or has left; this holds for good.
  void Leave(const std::string& id, Phase phase, Micros now);
  // What a server has told this process that it holds now.
  void SetModels(const std::string& id, std::vector<HeldModel> models);
  // Servers that were silent for long are lost. While `has_quorum_contact` is false, or after this process
  // stood still, it may be the one that hears nothing, and all count as heard.
  void Expire(Micros now, bool has_quorum_contact);

  const Record* Find(const std::string& id) const;
  std::vector<Instance> ChangedSince(const VersionVector& known) const;
  bool Misses(const VersionVector& known) const;
  std::vector<LastSeen> HeardSince(Micros since, Micros now) const;
  void ForEach(const std::function<void(const Record&)>& visit) const;
  const VersionVector& known() const { return known_; }
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

  // Whether a reader with this vector misses nothing for certain.
  bool Covers(const VersionVector& known) const;
  void Merge(const Instance& instance, Micros now);
  void Insert(Instance instance, Micros heard_at, Micros heard_directly_at);
  void Stamp(Instance& instance);
  void RetireOthersAt(const std::string& address, const std::string& id, Micros now);

  const std::string origin_;
  const Micros lost_after_;
  Records records_;
  VersionVector known_;
  std::uint64_t counter_ = 0;
  Micros expired_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_INSTANCE_TABLE_HPP_
