// What a control process decides: takes the servers' heartbeats and departures and the operator's changes,
// exchanges with the other control processes, answers the sidecars' pulls and places models. A core: it holds
// no clock, socket, file or thread; what has to go out leaves through `Outputs`, and what comes of it returns
// by a call.
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
#include "control/gossip/gossip.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/placer_role.hpp"
#include "control/replication/shards.hpp"
#include "messages/peer.hpp"

namespace violetwing {

class ControlCore {
 public:
  using Micros = consensus::Micros;
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
  using OnPulled = std::function<void(const std::optional<PullReply>&)>;

  // `life` names one life of this process, unlike any other's.
  ControlCore(const NodeSettings& settings, std::string life, const Shards::Stored& stored, Outputs outputs,
              Micros now);

  void SetSeeds(const std::vector<std::string>& seeds, Micros now);
  void Tick(Micros now);
  // The write of this token would outlive a loss of power.
  void Written(std::uint64_t token, Micros now);
  // Answers all pulls that wait; the process is about to end.
  void Stop();

  // Calls of servers and of the operator. `done` is called once, with nothing where no quorum has answered in
  // time: what was asked may yet be done.
  void Heartbeat(Instance instance, bool draining, Micros now, const OnTaken& done);
  void Departure(const std::string& id, Micros now, const OnTaken& done);
  void Change(const configuration::Change& change, Micros now, const OnChanged& done);
  void ReadConfiguration(Micros now, const OnRead& done);

  // Calls of sidecars. A pull waits for news, as long as it says; it is answered with nothing if this process
  // is out of touch with the others.
  void Pull(PullRequest request, Micros now, const OnPulled& done);
  void Demand(const std::vector<ModelDemand>& demand, Micros now);

  // Calls of the other control processes, and the ends of those to them: without an answer that could be
  // read, empty.
  ExchangeReply Exchange(const ExchangeRequest& request, Micros now);
  void Exchanged(const std::string& address, const std::optional<ExchangeReply>& reply, Micros now);

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
  struct ParkedPull {
    PullRequest request;
    Micros until = 0;
    OnPulled done;
  };

  Shards::Outputs ShardOutputs();
  Peers::Outputs PeerOutputs();
  bool InTouch() const { return shards_.configuration_replica().InTouch(now_); }
  // Out of touch for longer than an election takes: a call that needs a quorum is refused at once.
  bool Isolated() const;
  void Leave(const std::string& service, const std::string& id, Phase phase, const OnTaken& done);
  // When a pull is answered.
  enum class PullAnswer {
    kAlways,              // also if there is nothing to tell: its wait is over
    kWithNews,            // if there is something to tell
    kUnlessServersAlone,  // the same, but what there is to tell of servers alone waits for the next wake
  };
  // False if the pull is still to be answered.
  bool AnswerPull(const PullRequest& request, const OnPulled& done, PullAnswer when);
  // The configuration in force, for a caller that holds an earlier version or none.
  void FillConfiguration(const PullRequest& request, PullReply& reply);
  bool DocumentDue(const std::string& sidecar, bool at_once) const;
  // `at_once`: whenever the last ones were woken.
  void WakePulls(bool at_once);
  void CountDemand(const std::vector<ModelDemand>& demand);
  void TickPlacer();
  void TellNews();
  void Take(const ExchangeReply& reply);
  void MergeInstances(const std::vector<Instance>& changed);
  // Lets out what the event at hand has led to.
  void Flush() { peers_.Flush(now_); }

  const NodeSettings settings_;
  const std::string life_;
  const Outputs outputs_;
  Micros now_;
  InstanceTable table_;
  Sidecars sidecars_;
  PlacerRole placer_;
  Peers peers_;
  Shards shards_;
  std::deque<ParkedPull> parked_;
  VersionVector told_;        // what sidecars have been woken for
  std::uint64_t spread_ = 0;  // the last change of this process that the others were to hear of
  const consensus::MemberPolicy member_policy_;
  Micros in_touch_since_ = 0;      // 0: out of touch
  Micros out_of_touch_since_ = 0;  // 0: in touch
  bool pulls_due_ = false;
  bool document_held_ = false;                      // a pull waits until its document is due
  std::map<std::string, Micros> document_sent_at_;  // by sidecar, of those that were sent one lately
  Micros woken_at_ = 0;
  Micros wake_every_ = 0;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CONTROL_CORE_HPP_
