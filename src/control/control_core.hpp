// What a control process decides: takes the servers' heartbeats and deregistrations and the operator's
// changes, exchanges with the other control processes, answers the sidecars' pulls and places models. A core:
// it holds no clock, socket, file or thread; what has to go out leaves through `Outputs`, and what comes of
// it returns by a call.
#ifndef VIOLETWING_CONTROL_CONTROL_CORE_HPP_
#define VIOLETWING_CONTROL_CONTROL_CORE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/node_settings.hpp"
#include "common/time.hpp"
#include "control/gossip/gossip.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/placer_role.hpp"
#include "control/replication/shards.hpp"
#include "messages/watch.hpp"

namespace violetwing {

class ControlCore {
 public:
  struct Outputs {
    std::function<void(ShardWrite, std::uint64_t token)> write;
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
    std::function<void(const PlacementCall&, consensus::Term fencing_token)> order;
    std::function<void(const PlacementCall&)> ask_report;
  };
  enum class Taken { kTaken, kUnavailable };
  // The configuration in force; empty before the first.
  struct ConfigurationRead {
    std::int64_t version = 0;
    std::string document;
  };
  using OnTaken = std::function<void(Taken)>;
  using OnChanged = std::function<void(const std::optional<configuration::Answer>&)>;
  using OnRead = std::function<void(const std::optional<ConfigurationRead>&)>;
  using OnWatched = std::function<void(const std::optional<WatchReply>&)>;

  // `incarnation` names one incarnation of this process, unlike any other's.
  ControlCore(const NodeSettings& settings, std::string incarnation, const Shards::Stored& stored,
              Outputs outputs, Micros now);

  void SetSeeds(const std::vector<std::string>& seeds, Micros now);
  void Tick(Micros now);
  // The write of this token would outlive a loss of power.
  void Written(std::uint64_t token, Micros now);
  // Answers all pulls that wait; the process is about to end.
  void Stop();

  // Calls of servers and of the operator. `done` is called once, with nothing where no quorum has answered in
  // time: what was asked may yet be done.
  void Heartbeat(Instance instance, bool draining, Micros now, const OnTaken& done);
  void Deregister(const std::string& id, Micros now, const OnTaken& done);
  void Change(const configuration::Change& change, Micros now, const OnChanged& done);
  void ReadConfiguration(Micros now, const OnRead& done);

  // Calls of sidecars. A pull waits for news, as long as it says; it is answered with nothing if this process
  // is out of touch with the others.
  void Watch(WatchRequest request, Micros now, const OnWatched& done);
  void Demand(const std::vector<ModelDemand>& demand, Micros now);

  // Calls of the other control processes, and the ends of those to them: without an answer that could be
  // read, empty.
  ExchangeReply OnExchangeRequest(const ExchangeRequest& request, Micros now);
  void OnExchangeReply(const std::string& address, const std::optional<ExchangeReply>& reply, Micros now);

  // When the next order is due, for a call of OrdersDue then; empty if none is.
  std::optional<Micros> NextOrderAt() const { return placer_.NextDueAt(); }
  void OrdersDue(Micros now);
  // The ends of calls to servers: an HTTP status, 0 without an answer.
  void OrderAnswered(const PlacementCall& order, int status, Micros now);
  void Reported(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  const configuration::State& configuration() const { return shards_.configuration(); }
  const InstanceTable& table() const { return table_; }
  const Shards& shards() const { return shards_; }

 private:
  struct PendingWatch {
    WatchRequest request;
    Micros until = 0;
    OnWatched done;
  };

  Shards::Outputs ShardOutputs();
  Gossip::Outputs PeerOutputs();
  bool HasQuorumContact() const { return shards_.configuration_replica().HasQuorumContact(now_); }
  // Out of touch for longer than an election takes: a call that needs a quorum is refused at once.
  bool Isolated() const;
  void Leave(const std::string& service, const std::string& id, Phase phase, const OnTaken& done);
  // When a pull is answered.
  enum class WatchAnswer {
    kAlways,              // also if there is nothing to tell: its wait is over
    kWithNews,            // if there is something to tell
    kUnlessServersAlone,  // the same, but what there is to tell of servers alone waits for the next wake
  };
  // False if the pull is still to be answered.
  bool AnswerWatch(const WatchRequest& request, const OnWatched& done, WatchAnswer when);
  // The configuration in force, for a caller that holds an earlier version or none.
  void FillConfiguration(const WatchRequest& request, WatchReply& reply);
  bool DocumentDue(const std::string& sidecar, bool at_once) const;
  // `at_once`: whenever the last ones were woken.
  void AnswerWatches(bool at_once);
  void CountDemand(const std::vector<ModelDemand>& demand);
  void TickPlacer();
  void TellNews();
  void Take(const ExchangeReply& reply);
  void MergeInstances(const std::vector<Instance>& changed);
  // Lets out what the event at hand has led to.
  void Flush() { gossip_.Flush(now_); }

  const NodeSettings settings_;
  const std::string incarnation_;
  const Outputs outputs_;
  Micros now_;
  InstanceTable table_;
  SidecarRegistry sidecars_;
  PlacerRole placer_;
  Gossip gossip_;
  Shards shards_;
  std::deque<PendingWatch> pending_watches_;
  VersionVector told_;        // what sidecars have been woken for
  std::uint64_t spread_ = 0;  // the last change of this process that the others were to hear of
  const consensus::MemberPolicy member_policy_;
  Micros quorum_contact_since_ = 0;    // 0: without contact
  Micros quorum_contact_lost_at_ = 0;  // 0: in contact
  bool pulls_due_ = false;
  bool document_held_ = false;                      // a pull waits until its document is due
  std::map<std::string, Micros> document_sent_at_;  // by sidecar, of those that were sent one lately
  Micros woken_at_ = 0;
  Micros wake_every_ = 0;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CONTROL_CORE_HPP_
