// The other control processes: who they are, and the exchange with each, one call at a time. What is to be
// said to one waits until its last call has ended; what a call did not bring over is lost, and those who sent
// it repeat it. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_
#define VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "messages/peer.hpp"

namespace violetwing {

class Gossip {
 public:
  struct Outputs {
    // Adds what every exchange carries; `known` is what the other one last said that it knows, null if it has
    // said nothing yet.
    std::function<void(ExchangeRequest&, const VersionVector* known)> fill;
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
  };

  Gossip(ControlNode self, Outputs outputs) : self_(std::move(self)), outputs_(std::move(outputs)) {}

  void SetSeeds(const std::vector<ControlNode>& seeds);
  // Replicas of the shards' groups: always talked to.
  void SetMembers(const std::vector<std::string>& addresses);
  void Meet(const ControlNode& node, Micros now);

  void Send(const std::string& address, ShardMessage message);
  void Propose(const std::string& address, ShardProposal proposal);
  void Tell(const std::string& address, std::vector<ModelDemand> demand);
  // What the process at this address knows, by its own word.
  void Knows(const std::string& address, const std::string& incarnation, const VersionVector& known);
  // This process is about to end: all are told at once.
  void Leave(Micros now);
  // There is news of this process that all others should have soon.
  void SpreadNews(Micros now);
  // Begins the exchanges that are due by the clock.
  void Tick(Micros now);
  // Begins the exchanges for which something was said since.
  void Flush(Micros now);
  // An exchange with this address has ended, with an answer that could be read or without.
  void OnExchanged(const std::string& address, bool answered, Micros now);

  // Those heard of lately, this process included.
  std::vector<ControlNode> Known(Micros now) const;

 private:
  struct Peer {
    ControlNode node;  // its names are empty until it was heard
    Micros heard_at = 0;
    Micros tried_at = 0;
    Micros told_at = 0;  // when an exchange began whose answer told whom the process there has heard
    bool busy = false;
    bool asked_heard = false;  // by the exchange under way
    bool failed = false;
    bool seed = false;
    bool member = false;
    ExchangeRequest next;
    bool urgent = false;  // `next` holds something that was said
    bool news = false;    // it should hear what has changed here
    std::optional<VersionVector> known;
    std::string incarnation;  // of the process there that said so
  };

  Peer& Get(const std::string& address);
  void Exchange(const std::string& address, Peer& peer, Micros now);

  ControlNode self_;
  const Outputs outputs_;
  std::map<std::string, Peer> peers_;  // by internal address
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_GOSSIP_HPP_
