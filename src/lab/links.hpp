// The links of a run: which parties have a proxy between them, and what every fault on it adds up to.
#ifndef VIOLETWING_LAB_LINKS_HPP_
#define VIOLETWING_LAB_LINKS_HPP_

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "lab/link/stream.hpp"
#include "lab/plan.hpp"

namespace violetwing::lab {

class Links {
 public:
  static constexpr int kDiscovery = -1;  // in place of a server's number
  static constexpr int kClients = -2;    // the link from a sidecar's clients to it
  // Registries, where a link leads to one; and in place of a sidecar's number, servers and registries where
  // it begins there.
  static constexpr int Registry(int number) { return -10 - number; }
  static constexpr int FromServer(int number) { return 1'000'000 + number; }
  static constexpr int FromRegistry(int number) { return 2'000'000 + number; }

  // A pair has a link if the network has delays or a fault of the timeline is for it; others meet directly,
  // so that a proxy costs time only where it does something.
  // `scripted`: faults of links to the primary registry are for the scripted discovery.
  Links(asio::io_context& io, const Clock& clock, const Scenario& scenario, const Plan& plan, bool scripted);

  // What is handed to `sidecar` on its link to the party; there must be such a link.
  void SetTap(int sidecar, int server, StreamLink::Tap tap);
  // Where `sidecar` reaches the server whose own address is `target`.
  Tcp::endpoint Address(int sidecar, int server, const Tcp::endpoint& target);
  void FollowFar(int server, Door::State state);
  // The party is at new addresses: its links are made again.
  void Forget(int server);
  // Begins or ends the fault of this index.
  void Apply(int fault, bool begin);

  const SendTimes& send_times() const { return times_; }

 private:
  using Pair = std::pair<int, int>;  // sidecar, server

  std::vector<Pair> PairsOf(int fault) const;
  void AddPairs(Party from_party, int from, const Selector& to, const std::vector<int>& numbers,
                std::vector<Pair>& out) const;
  void Set(const Pair& pair);

  asio::io_context& io_;
  const Clock& clock_;
  const Scenario& scenario_;
  const Plan& plan_;
  const bool scripted_;
  SendTimes times_;
  std::set<Pair> linked_;
  std::map<Pair, std::unique_ptr<StreamLink>> links_;
  std::map<int, Door::State> far_;
  std::set<int> active_;  // faults
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_LINKS_HPP_
