// A control process: takes the servers' heartbeats and the operator's changes, keeps its replicas of the
// shards, exchanges with the other control processes, and answers the sidecars' pulls. One loop; the disk has
// a thread.
#ifndef VIOLETWING_CONTROL_SERVICE_HPP_
#define VIOLETWING_CONTROL_SERVICE_HPP_

#include <event2/event.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/api/http.hpp"
#include "control/configuration/state.hpp"
#include "control/group.hpp"
#include "control/instances/departures.hpp"
#include "control/instances/table.hpp"
#include "control/peers.hpp"
#include "control/placement/placer.hpp"
#include "control/store/store.hpp"
#include "messages/peer.hpp"
#include "node/settings.hpp"

namespace violetwing {

class ControlService {
 public:
  ControlService(event_base* base, NodeSettings settings);
  ~ControlService();

  // Opens the disk and listens. A reason in `problem` if it cannot.
  std::error_code Start(std::string& problem);
  // The settings file has changed.
  void Reload(const NodeSettings& settings);
  // Answers what is open and leaves the loop.
  void Stop();

 private:
  using Micros = std::int64_t;
  class ConfigurationMachine;
  class DeparturesMachine;
  struct ParkedPull {
    PullRequest request;
    Micros until = 0;
    http::Answer answer;
  };
  struct Sidecar {
    Micros heard_at = 0;
    Micros heard_directly_at = 0;
  };

  void Tick();
  void OnWritten();
  void OnApplied(int shard);

  void MakeGroups();
  // Where the process with this disk takes internal calls; empty if that is not known.
  std::string AddressOf(int shard, const consensus::ReplicaId& id) const;
  Group* FindGroup(int shard) const;  // null if there is none
  int ShardOf(const std::string& service) const;
  Group& ConfigurationGroup() { return *groups_.front(); }
  bool InTouch() const;

  // The interface for servers and the operator.
  void OnApi(const http::Request& request, const http::Answer& answer);
  void OnHeartbeat(const std::string& id, const std::string& body, const http::Answer& answer);
  void OnDeparture(const std::string& id, const http::Answer& answer);
  void AnswerLeave(const std::string& id, const std::string& service, Phase phase,
                   const http::Answer& answer);
  void OnChange(const http::Request& request, const http::Answer& answer);
  void OnReadConfiguration(const http::Answer& answer);
  std::optional<Phase> Departed(const std::string& id) const;

  // Calls of the other processes of the system.
  void OnInternal(const http::Request& request, const http::Answer& answer);
  void OnExchange(const ExchangeRequest& request, const http::Answer& answer);
  void OnPull(PullRequest request, const http::Answer& answer);
  bool AnswerPull(const PullRequest& request, const http::Answer& answer, bool now_or_never);
  void WakePulls();
  void CountDemand(const std::vector<ModelDemand>& demand);

  void TickPlacer(Micros now);
  void SendOrder(const PlacementCall& order);
  void AskReport(const PlacementCall& call);
  void ReviewMembers(Micros now);
  int NumberOf(const std::string& sidecar, int& count) const;

  event_base* const base_;
  NodeSettings settings_;
  const std::string source_;  // one life of this process
  Store store_;
  std::uint64_t token_ = 0;
  std::map<std::uint64_t, Group*> writers_;

  configuration::State configuration_;
  std::vector<Departures> departures_;  // by shard, the first unused
  std::vector<std::unique_ptr<StateMachine>> machines_;
  std::vector<std::unique_ptr<Group>> groups_;
  InstanceTable table_;
  std::map<consensus::ReplicaId, std::string> disk_addresses_;  // by the disks' own words
  std::map<std::string, Sidecar> sidecars_;
  Placer placer_;
  consensus::Term placer_term_ = 0;  // in which this process leads; 0 if it does not
  Micros place_from_ = 0;
  bool placing_ = false;
  VersionVector told_;

  http::Server api_;
  http::Server internal_;
  http::Client client_;
  std::unique_ptr<Peers> peers_;
  std::deque<ParkedPull> parked_;

  event* tick_ = nullptr;
  event* written_event_ = nullptr;
  int written_pipe_[2] = {-1, -1};
  Micros in_touch_since_ = 0;
  bool pulls_due_ = false;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_SERVICE_HPP_
