#include "peers.hpp"

#include <chrono>
#include <utility>

namespace violetwing {
namespace {

constexpr Peers::Micros kExchangeEvery = 150'000;
// An address that did not answer the last time.
constexpr Peers::Micros kRetryEvery = 400'000;
// One that was neither seed nor member and was not heard for so long is forgotten.
constexpr Peers::Micros kForgetAfter = 20'000'000;
constexpr Peers::Micros kKnownFor = 10'000'000;
// Without progress for so long, a call has failed: the process may stand still, or the way to it be cut.
constexpr std::chrono::milliseconds kSilence{500};
// Messages that wait for one process at most; replicas repeat what is dropped.
constexpr std::size_t kMostMessages = 256;

}  // namespace

Peers::Peers(event_base* base, http::Client& client, ControlNode self, Hooks hooks)
    : base_(base), client_(client), self_(std::move(self)), hooks_(std::move(hooks)) {
  soon_ = event_new(
      base_, -1, 0, [](evutil_socket_t, short, void* peers) { static_cast<Peers*>(peers)->ExchangeUrgent(); },
      this);
}

Peers::~Peers() { event_free(soon_); }

Peers::Peer& Peers::Get(const std::string& address) {
  Peer& peer = peers_[address];
  peer.node.address = address;
  return peer;
}

void Peers::SetSeeds(const std::vector<ControlNode>& seeds) {
  for (auto& [address, peer] : peers_) peer.seed = false;
  for (const ControlNode& seed : seeds) {
    if (seed.address == self_.address) continue;
    Peer& peer = Get(seed.address);
    peer.seed = true;
    if (peer.node.api_address.empty()) peer.node.api_address = seed.api_address;
  }
}

void Peers::SetMembers(const std::vector<std::string>& addresses) {
  for (auto& [address, peer] : peers_) peer.member = false;
  for (const std::string& address : addresses)
    if (address != self_.address && !address.empty()) Get(address).member = true;
}

void Peers::Meet(const ControlNode& node, Micros now) {
  if (node.address.empty() || node.address == self_.address) return;
  Peer& peer = Get(node.address);
  peer.node = node;
  if (peer.heard_at == 0) peer.heard_at = now;
}

void Peers::Hurry(Peer& peer) {
  peer.urgent = true;
  if (peer.busy || std::exchange(soon_pending_, true)) return;
  event_active(soon_, EV_TIMEOUT, 0);
}

void Peers::Send(const std::string& address, ShardMessage message) {
  Peer& peer = Get(address);
  if (peer.next.messages.size() >= kMostMessages) peer.next.messages.clear();
  peer.next.messages.push_back(std::move(message));
  Hurry(peer);
}

void Peers::Propose(const std::string& address, ShardProposal proposal) {
  Peer& peer = Get(address);
  if (peer.next.proposals.size() >= kMostMessages) return;
  peer.next.proposals.push_back(std::move(proposal));
  Hurry(peer);
}

void Peers::Tell(const std::string& address, std::vector<ModelDemand> demand) {
  Peer& peer = Get(address);
  if (peer.next.demand.size() >= kMostMessages) return;
  for (ModelDemand& one : demand) peer.next.demand.push_back(std::move(one));
  Hurry(peer);
}

void Peers::ExchangeUrgent() {
  soon_pending_ = false;
  for (auto& [address, peer] : peers_)
    if (peer.urgent && !peer.busy && (!peer.failed || now_ - peer.tried_at >= kRetryEvery))
      Exchange(address, peer);
}

void Peers::Tick(Micros now) {
  now_ = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    if (!peer.seed && !peer.member && !peer.busy && now - peer.heard_at > kForgetAfter) {
      it = peers_.erase(it);
      continue;
    }
    if (!peer.busy && now - peer.tried_at >= (peer.failed ? kRetryEvery : kExchangeEvery))
      Exchange(it->first, peer);
    ++it;
  }
}

void Peers::Exchange(const std::string& address, Peer& peer) {
  ExchangeRequest request = std::exchange(peer.next, {});
  request.from = self_;
  hooks_.fill(request);
  peer.busy = true;
  peer.urgent = false;
  peer.tried_at = now_;
  client_.Call(address, "POST", kExchangePath, nlohmann::json(request).dump(), kSilence,
               [this, address](int status, const std::string& body) {
                 Peer& answered = Get(address);
                 answered.busy = false;
                 answered.failed = status != 200;
                 if (status == 200) {
                   answered.heard_at = now_;
                   try {
                     hooks_.take(nlohmann::json::parse(body).get<ExchangeReply>());
                   } catch (const std::exception&) {
                     answered.failed = true;  // not one of ours, or of another version
                   }
                 } else {
                   answered.next.messages.clear();  // repeated by the replicas, with later knowledge
                 }
                 if (answered.urgent) Hurry(answered);
               });
}

std::vector<ControlNode> Peers::Known(Micros now) const {
  std::vector<ControlNode> out{self_};
  for (const auto& [address, peer] : peers_)
    if (!peer.node.node.empty() && now - peer.heard_at < kKnownFor) out.push_back(peer.node);
  return out;
}

}  // namespace violetwing
