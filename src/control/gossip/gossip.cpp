#include "control/gossip/gossip.hpp"

#include <utility>

namespace violetwing {
namespace {

// Interval of exchanges without queued payload, and of requests for last-seen lists.
constexpr Micros kExchangeInterval = 150'000;
// Minimum interval between broadcasts of changes to one peer. The first change is broadcast at once.
constexpr Micros kBroadcastInterval = 20'000;
// Delay before the retry of a failed exchange.
constexpr Micros kRetryInterval = 400'000;
// A peer that is neither a seed nor a member is removed after it has not been seen for this long.
constexpr Micros kRemoveAfter = 20'000'000;
// A peer counts as live for this long after it was last seen.
constexpr Micros kLivenessTimeout = 10'000'000;
// Maximum queue length per peer of each kind of payload. Senders repeat payload that is dropped.
constexpr std::size_t kMaxQueued = 256;

}  // namespace

Gossip::Peer& Gossip::FindOrAdd(const std::string& address) {
  Peer& peer = peers_[address];
  peer.node.address = address;
  return peer;
}

void Gossip::SetSeeds(const std::vector<ControlNode>& seeds) {
  for (auto& [address, peer] : peers_) peer.is_seed = false;
  for (const ControlNode& seed : seeds) {
    if (seed.address == self_.address) continue;
    Peer& peer = FindOrAdd(seed.address);
    peer.is_seed = true;
    if (peer.node.api_address.empty()) peer.node.api_address = seed.api_address;
  }
}

void Gossip::SetMembers(const std::vector<std::string>& addresses) {
  for (auto& [address, peer] : peers_) peer.is_member = false;
  for (const std::string& address : addresses)
    if (address != self_.address && !address.empty()) FindOrAdd(address).is_member = true;
}

void Gossip::OnPeerSeen(const ControlNode& node, Micros now) {
  if (node.address.empty() || node.address == self_.address) return;
  Peer& peer = FindOrAdd(node.address);
  peer.node = node;
  peer.node.leaving = false;  // not propagated: only the process itself announces its shutdown
  if (peer.last_seen_at == 0) peer.last_seen_at = now;
}

void Gossip::OnPeerVersions(const std::string& address, const std::string& incarnation,
                            const VersionVector& version_vector) {
  const auto it = peers_.find(address);
  if (it == peers_.end()) return;
  it->second.incarnation = incarnation;
  it->second.version_vector = version_vector;
}

void Gossip::SendMessage(const std::string& address, ShardMessage message) {
  Peer& peer = FindOrAdd(address);
  if (peer.next_request.messages.size() >= kMaxQueued) peer.next_request.messages.clear();
  peer.next_request.messages.push_back(std::move(message));
  peer.has_queued_payload = true;
}

void Gossip::SendProposal(const std::string& address, ShardProposal proposal) {
  Peer& peer = FindOrAdd(address);
  if (peer.next_request.proposals.size() >= kMaxQueued) return;
  peer.next_request.proposals.push_back(std::move(proposal));
  peer.has_queued_payload = true;
}

void Gossip::SendDemand(const std::string& address, std::vector<ModelDemand> demand) {
  Peer& peer = FindOrAdd(address);
  if (peer.next_request.demand.size() >= kMaxQueued) return;
  for (ModelDemand& model : demand) peer.next_request.demand.push_back(std::move(model));
  peer.has_queued_payload = true;
}

void Gossip::BroadcastUsage(const UsageReport& report) {
  for (auto& [address, peer] : peers_)
    if (peer.next_request.usage.size() < kMaxQueued) peer.next_request.usage.push_back(report);
}

Micros Gossip::LastExchangeAt(const std::string& address) const {
  const auto peer = peers_.find(address);
  return peer == peers_.end() ? 0 : peer->second.last_exchange_at;
}

void Gossip::AnnounceShutdown(Micros now) {
  self_.leaving = true;
  for (auto& [address, peer] : peers_) peer.has_queued_payload = true;
  Flush(now);
}

void Gossip::ScheduleBroadcast(Micros now) {
  for (auto& [address, peer] : peers_) peer.broadcast_pending = true;
  Flush(now);
}

void Gossip::Flush(Micros now) {
  for (auto& [address, peer] : peers_) {
    const Micros since_last = now - peer.last_exchange_at;
    const bool backing_off = peer.last_exchange_failed && since_last < kRetryInterval;
    if (peer.exchange_in_flight || backing_off) continue;
    const bool broadcast_due = peer.broadcast_pending && since_last >= kBroadcastInterval;
    if (peer.has_queued_payload || broadcast_due) BeginExchange(address, peer, now);
  }
}

bool Gossip::IsExpired(const Peer& peer, Micros now) {
  const bool needed = peer.is_seed || peer.is_member || peer.exchange_in_flight;
  return !needed && now - peer.last_seen_at > kRemoveAfter;
}

void Gossip::Tick(Micros now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    auto& [address, peer] = *it;
    if (IsExpired(peer, now)) {
      it = peers_.erase(it);
      continue;
    }
    const Micros interval = peer.last_exchange_failed ? kRetryInterval : kExchangeInterval;
    if (!peer.exchange_in_flight && now - peer.last_exchange_at >= interval)
      BeginExchange(address, peer, now);
    ++it;
  }
}

void Gossip::BeginExchange(const std::string& address, Peer& peer, Micros now) {
  const bool never_synced = peer.last_seen_sync_at == 0;
  peer.requested_last_seen = never_synced || now - peer.last_seen_sync_at >= kExchangeInterval;
  ExchangeRequest request = std::exchange(peer.next_request, {});
  request.sender = self_;
  request.receiver_incarnation = peer.incarnation;
  request.wants_last_seen = peer.requested_last_seen;
  outputs_.fill_request(request, peer.version_vector ? &*peer.version_vector : nullptr);
  peer.exchange_in_flight = true;
  peer.has_queued_payload = false;
  peer.broadcast_pending = false;
  peer.last_exchange_at = now;
  outputs_.exchange(address, std::move(request));
}

void Gossip::OnExchangeEnded(const std::string& address, bool succeeded, Micros now) {
  Peer& peer = FindOrAdd(address);
  peer.exchange_in_flight = false;
  peer.last_exchange_failed = !succeeded;
  if (!succeeded) {
    // Drops the queued messages: the replicas send newer ones in their place.
    peer.next_request.messages.clear();
    return;
  }
  peer.last_seen_at = now;
  if (peer.requested_last_seen) peer.last_seen_sync_at = peer.last_exchange_at;
}

std::vector<ControlNode> Gossip::LiveNodes(Micros now) const {
  std::vector<ControlNode> nodes{self_};
  for (const auto& [address, peer] : peers_)
    if (!peer.node.node.empty() && now - peer.last_seen_at < kLivenessTimeout) nodes.push_back(peer.node);
  return nodes;
}

}  // namespace violetwing
