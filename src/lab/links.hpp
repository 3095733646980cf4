// The links of a run: which parties have a proxy between them, and what every fault on it adds up to.
#ifndef VIOLETWING_LAB_LINKS_HPP_
#define VIOLETWING_LAB_LINKS_HPP_

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "link/stream.hpp"
#include "plan.hpp"

namespace violetwing::lab {

class Links {
 public:
  static constexpr int kDiscovery = -1;  // in place of a server's number
  static constexpr int kClients = -2;    // the link from a sidecar's clients to it

  // A pair has a link if the network has delays or a fault of the timeline is for it; others meet directly,
  // so that a proxy costs time only where it does something.
  Links(asio::io_context& io, const Clock& clock, const Scenario& scenario, const Plan& plan);

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
  void Set(const Pair& pair);

  asio::io_context& io_;
  const Clock& clock_;
  const Scenario& scenario_;
  const Plan& plan_;
  SendTimes times_;
  std::set<Pair> linked_;
  std::map<Pair, std::unique_ptr<StreamLink>> links_;
  std::map<int, Door::State> far_;
  std::set<int> active_;  // faults
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_LINKS_HPP_
