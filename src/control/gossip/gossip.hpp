// Exchanges with the other control processes: which peers there are, and at most one call in flight to each.
// What is to be sent to a peer is queued until its call has ended. The payload of a failed call is lost;
// senders repeat it. A core: it holds no clock, socket, file or thread.
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

/// The peers of one control process and the schedule of the exchanges with them. Peers are named by their
/// internal address. All times are in microseconds of one steady clock.
class Gossip {
 public:
  /// Calls to the owner, made from within the calls below.
  struct Outputs {
    /// Adds to a request what every exchange carries. `peer_versions` is what the peer sent last of its
    /// version vector, null if it has sent none yet.
    std::function<void(ExchangeRequest&, const VersionVector* peer_versions)> fill_request;
    /// Begins an exchange. `OnExchangeEnded` has to follow.
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
  };

  /// `self`: how this process presents itself to the others.
  Gossip(ControlNode self, Outputs outputs) : self_(std::move(self)), outputs_(std::move(outputs)) {}

  /// Replaces the peers of the settings, which are never forgotten.
  void SetSeeds(const std::vector<ControlNode>& seeds);
  /// Replaces the peers that hold replicas of the shards, which are never forgotten.
  void SetMembers(const std::vector<std::string>& addresses);
  /// A control process was seen, here or by another one.
  void OnPeerSeen(const ControlNode& node, Micros now);
  /// A peer has sent the version vector of its instance table.
  void OnPeerVersions(const std::string& address, const std::string& incarnation,
                      const VersionVector& version_vector);

  /// Each queues something for a peer until the next `Flush`. A full queue drops: all earlier messages, or
  /// the new proposal or demand.
  void SendMessage(const std::string& address, ShardMessage message);
  void SendProposal(const std::string& address, ShardProposal proposal);
  void SendDemand(const std::string& address, std::vector<ModelDemand> demand);
  /// Adds a report to the next exchange with each peer.
  void BroadcastUsage(const UsageReport& report);

  /// This process is about to end: begins an exchange with all peers that are free.
  void AnnounceShutdown(Micros now);
  /// All peers should soon have the changes of this process's instance table.
  void ScheduleBroadcast(Micros now);
  /// Begins the exchanges that are due by time, and forgets peers that have been silent for long.
  void Tick(Micros now);
  /// Begins the exchanges for which something is queued.
  void Flush(Micros now);
  /// An exchange has ended. `succeeded`: with a reply that could be decoded.
  void OnExchangeEnded(const std::string& address, bool succeeded, Micros now);

  /// When the exchange with a peer began that is in flight, or was last.
  Micros LastExchangeAt(const std::string& address) const;
  /// The control processes that were seen lately, this one included.
  std::vector<ControlNode> LiveNodes(Micros now) const;

 private:
  struct Peer {
    ControlNode node;  // its names are empty until the peer was seen
    bool is_seed = false;
    bool is_member = false;
    Micros last_seen_at = 0;  // 0: never

    bool exchange_in_flight = false;
    bool requested_last_seen = false;  // by the exchange in flight, or the last one
    bool last_exchange_failed = false;
    Micros last_exchange_at = 0;   // its begin
    Micros last_seen_sync_at = 0;  // begin of the last exchange that brought last-seen lists; 0: none

    ExchangeRequest next_request;  // what is queued
    bool has_queued_payload = false;
    bool broadcast_pending = false;

    std::string incarnation;  // of the process that sent `version_vector`
    std::optional<VersionVector> version_vector;
  };

  static bool IsForgettable(const Peer& peer, Micros now);
  Peer& FindOrAdd(const std::string& address);
  void BeginExchange(const std::string& address, Peer& peer, Micros now);

  ControlNode self_;
  const Outputs outputs_;
  std::map<std::string, Peer> peers_;  // by internal address
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_
