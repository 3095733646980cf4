#include "control/gossip/gossip.hpp"

#include <utility>

namespace violetwing {
namespace {

// Also how old may be what an exchange has told of whom another process has heard.
constexpr Micros kExchangeEvery = 150'000;
// News is told at once, but not more often than this to each.
constexpr Micros kNewsEvery = 20'000;
// An address that did not answer the last time.
constexpr Micros kRetryEvery = 400'000;
// One that was neither seed nor member and was not heard for so long is forgotten.
constexpr Micros kForgetAfter = 20'000'000;
constexpr Micros kKnownFor = 10'000'000;
// Messages that wait for one process at most; replicas repeat what is dropped.
constexpr std::size_t kMostMessages = 256;

}  // namespace

Gossip::Peer& Gossip::Get(const std::string& address) {
  Peer& peer = peers_[address];
  peer.node.address = address;
  return peer;
}

void Gossip::SetSeeds(const std::vector<ControlNode>& seeds) {
  for (auto& [address, peer] : peers_) peer.seed = false;
  for (const ControlNode& seed : seeds) {
    if (seed.address == self_.address) continue;
    Peer& peer = Get(seed.address);
    peer.seed = true;
    if (peer.node.api_address.empty()) peer.node.api_address = seed.api_address;
  }
}

void Gossip::SetMembers(const std::vector<std::string>& addresses) {
  for (auto& [address, peer] : peers_) peer.member = false;
  for (const std::string& address : addresses)
    if (address != self_.address && !address.empty()) Get(address).member = true;
}

void Gossip::Meet(const ControlNode& node, Micros now) {
  if (node.address.empty() || node.address == self_.address) return;
  Peer& peer = Get(node.address);
  peer.node = node;
  peer.node.leaving = false;  // that is for others to hear from it alone
  if (peer.heard_at == 0) peer.heard_at = now;
}

void Gossip::Send(const std::string& address, ShardMessage message) {
  Peer& peer = Get(address);
  if (peer.next.messages.size() >= kMostMessages) peer.next.messages.clear();
  peer.next.messages.push_back(std::move(message));
  peer.urgent = true;
}

void Gossip::Propose(const std::string& address, ShardProposal proposal) {
  Peer& peer = Get(address);
  if (peer.next.proposals.size() >= kMostMessages) return;
  peer.next.proposals.push_back(std::move(proposal));
  peer.urgent = true;
}

void Gossip::Tell(const std::string& address, std::vector<ModelDemand> demand) {
  Peer& peer = Get(address);
  if (peer.next.demand.size() >= kMostMessages) return;
  for (ModelDemand& one : demand) peer.next.demand.push_back(std::move(one));
  peer.urgent = true;
}

void Gossip::Knows(const std::string& address, const std::string& incarnation, const VersionVector& known) {
  const auto it = peers_.find(address);
  if (it == peers_.end()) return;
  it->second.incarnation = incarnation;
  it->second.known = known;
}

void Gossip::Leave(Micros now) {
  self_.leaving = true;
  for (auto& [address, peer] : peers_) peer.urgent = true;
  Flush(now);
}

void Gossip::SpreadNews(Micros now) {
  for (auto& [address, peer] : peers_) peer.news = true;
  Flush(now);
}

void Gossip::Flush(Micros now) {
  for (auto& [address, peer] : peers_) {
    if (peer.busy || (peer.failed && now - peer.tried_at < kRetryEvery)) continue;
    if (peer.urgent || (peer.news && now - peer.tried_at >= kNewsEvery)) Exchange(address, peer, now);
  }
}

void Gossip::Tick(Micros now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    if (!peer.seed && !peer.member && !peer.busy && now - peer.heard_at > kForgetAfter) {
      it = peers_.erase(it);
      continue;
    }
    if (!peer.busy && now - peer.tried_at >= (peer.failed ? kRetryEvery : kExchangeEvery))
      Exchange(it->first, peer, now);
    ++it;
  }
}

void Gossip::Exchange(const std::string& address, Peer& peer, Micros now) {
  ExchangeRequest request = std::exchange(peer.next, {});
  request.from = self_;
  request.changed_for = peer.incarnation;
  request.wants_heard = peer.asked_heard = peer.told_at == 0 || now - peer.told_at >= kExchangeEvery;
  outputs_.fill(request, peer.known ? &*peer.known : nullptr);
  peer.busy = true;
  peer.urgent = peer.news = false;
  peer.tried_at = now;
  outputs_.exchange(address, std::move(request));
}

void Gossip::OnExchanged(const std::string& address, bool answered, Micros now) {
  Peer& peer = Get(address);
  peer.busy = false;
  peer.failed = !answered;
  if (!answered) return peer.next.messages.clear();  // repeated by the replicas, with later knowledge
  peer.heard_at = now;
  if (peer.asked_heard) peer.told_at = peer.tried_at;
}

std::vector<ControlNode> Gossip::Known(Micros now) const {
  std::vector<ControlNode> out{self_};
  for (const auto& [address, peer] : peers_)
    if (!peer.node.node.empty() && now - peer.heard_at < kKnownFor) out.push_back(peer.node);
  return out;
}

}  // namespace violetwing
