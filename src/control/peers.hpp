// The other control processes: who they are, and the exchange with each, one call at a time. What is to be
// said to one waits until its last call has ended; what a call did not bring over is lost, and those who sent
// it repeat it.
#ifndef VIOLETWING_CONTROL_PEERS_HPP_
#define VIOLETWING_CONTROL_PEERS_HPP_

#include <event2/event.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/api/http.hpp"
#include "messages/peer.hpp"
#include "node/settings.hpp"

namespace violetwing {

class Peers {
 public:
  using Micros = std::int64_t;
  struct Hooks {
    std::function<void(ExchangeRequest&)> fill;  // adds what every exchange carries
    std::function<void(const ExchangeReply&)> take;
  };

  Peers(event_base* base, http::Client& client, ControlNode self, Hooks hooks);
  ~Peers();

  void SetSeeds(const std::vector<ControlNode>& seeds);
  // Replicas of the shards' groups: always talked to.
  void SetMembers(const std::vector<std::string>& addresses);
  void Meet(const ControlNode& node, Micros now);

  void Send(const std::string& address, ShardMessage message);
  void Propose(const std::string& address, ShardProposal proposal);
  void Tell(const std::string& address, std::vector<ModelDemand> demand);
  void Tick(Micros now);

  // Those heard of lately, this process included.
  std::vector<ControlNode> Known(Micros now) const;

 private:
  struct Peer {
    ControlNode node;  // its names are empty until it was heard
    Micros heard_at = 0;
    Micros tried_at = 0;
    bool busy = false;
    bool failed = false;
    bool seed = false;
    bool member = false;
    ExchangeRequest next;
    bool urgent = false;
  };

  Peer& Get(const std::string& address);
  void Hurry(Peer& peer);
  void Exchange(const std::string& address, Peer& peer);
  void ExchangeUrgent();

  event_base* const base_;
  http::Client& client_;
  const ControlNode self_;
  const Hooks hooks_;
  std::map<std::string, Peer> peers_;  // by internal address
  event* soon_ = nullptr;
  bool soon_pending_ = false;
  Micros now_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PEERS_HPP_
