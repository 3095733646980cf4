// Tracks the other control processes (peers) and schedules exchanges with them, with at most one call in
// flight per peer. Payload for a peer is queued while its call is in flight. The payload of a failed call is
// lost, and senders must repeat it. Contains no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_
#define VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "control/gossip/exchange_message.hpp"

namespace violetwing {

/// The peers of one control process and the schedule of the exchanges with them. Peers are identified by
/// their internal address. All times are in microseconds of one steady clock.
class Gossip {
 public:
  /// Callbacks to the owner, invoked synchronously from the member functions.
  struct Outputs {
    /// Fills in the fields that every request carries. `peer_versions` is the version vector that the peer
    /// sent last; null if it has sent none.
    std::function<void(ExchangeRequest&, const VersionVector* peer_versions)> fill_request;
    /// Begins an exchange. The owner must call `OnExchangeEnded` when it ends.
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
  };

  /// `self`: the identity of this process that the peers receive.
  Gossip(ControlNode self, Outputs outputs) : self_(std::move(self)), outputs_(std::move(outputs)) {}

  /// Replaces the peers from the settings. They never expire.
  void SetSeeds(const std::vector<ControlNode>& seeds);
  /// Replaces the peers that hold replicas of the shards. They never expire.
  void SetMembers(const std::vector<std::string>& addresses);
  /// Records that this process or a peer has seen a control process.
  void OnPeerSeen(const ControlNode& node, Micros now);
  /// Records the version vector of a peer's instance table, and the incarnation that sent it.
  void OnPeerVersions(const std::string& address, const std::string& incarnation,
                      const VersionVector& version_vector);

  /// Queue payload for a peer until its next exchange. If the queue is full, `SendMessage` drops all earlier
  /// messages, and the other two drop the new payload.
  void SendMessage(const std::string& address, ShardMessage message);
  void SendProposal(const std::string& address, ShardProposal proposal);
  void SendDemand(const std::string& address, std::vector<ModelDemand> demand);
  /// Adds a report to the next exchange with each peer. Dropped for peers whose queue is full.
  void BroadcastUsage(const UsageReport& report);

  /// Announces that this process shuts down. Begins an exchange with each peer that has none in flight and is
  /// not backing off.
  void AnnounceShutdown(Micros now);
  /// Schedules an exchange with each peer to send changes of this process's instance table.
  void ScheduleBroadcast(Micros now);
  /// Begins the periodic exchanges that are due, and removes expired peers.
  void Tick(Micros now);
  /// Begins the exchanges with queued payload or a due broadcast.
  void Flush(Micros now);
  /// Records the end of an exchange. `succeeded`: a reply was received and decoded.
  void OnExchangeEnded(const std::string& address, bool succeeded, Micros now);

  /// Returns the start time of the exchange with a peer in flight, or else of the last one; 0 if there is
  /// none.
  Micros LastExchangeAt(const std::string& address) const;
  /// Returns the control processes that were seen recently, including this one.
  std::vector<ControlNode> LiveNodes(Micros now) const;

 private:
  struct Peer {
    ControlNode node;  // names are empty until the peer has been seen
    bool is_seed = false;
    bool is_member = false;
    Micros last_seen_at = 0;  // 0: never

    bool exchange_in_flight = false;
    bool requested_last_seen = false;  // by the exchange in flight, or else by the last one
    bool last_exchange_failed = false;
    Micros last_exchange_at = 0;   // start time
    Micros last_seen_sync_at = 0;  // start time of the last exchange that returned last-seen lists; 0: none

    ExchangeRequest next_request;  // queued payload
    bool has_queued_payload = false;
    bool broadcast_pending = false;

    std::string incarnation;  // of the process that sent `version_vector`
    std::optional<VersionVector> version_vector;
  };

  static bool IsExpired(const Peer& peer, Micros now);
  Peer& FindOrAdd(const std::string& address);
  void BeginExchange(const std::string& address, Peer& peer, Micros now);

  ControlNode self_;
  const Outputs outputs_;
  std::map<std::string, Peer> peers_;  // by internal address
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_
