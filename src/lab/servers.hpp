// The servers of a run: their processes as the faults move them, and discovery hearing of it in its own time.
#ifndef VIOLETWING_LAB_SERVERS_HPP_
#define VIOLETWING_LAB_SERVERS_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "discovery/shell.hpp"
#include "journal.hpp"
#include "server/shell.hpp"

namespace violetwing::lab {

class Servers {
 public:
  Servers(const ServerWorld& world, Journal& journal, const std::function<void(int, Door::State)>& on_door);

  void Follow(DiscoveryShell& discovery);  // who hears of changes; tells it all at once
  // All processes run, and have for long.
  void StartAll();
  // Begins or ends the fault of this index; `done` is called when one ends by itself.
  void Apply(int fault, bool begin, std::function<void()> done);
  void Late(Micros more) { late_ = more; }

  std::size_t size() const { return servers_.size(); }
  const ServerShell& at(int number) const { return *servers_[static_cast<std::size_t>(number)].shell; }

 private:
  struct Server {
    std::unique_ptr<ServerShell> shell;
    Entry truth;  // what discovery will know
    Entry told;   // what it knows
    int successors = 0;
  };

  Server& Get(int number) { return servers_[static_cast<std::size_t>(number)]; }
  void After(Micros wait, std::function<void()> act);
  void Notice(int number, Micros wait);
  void Start(int number, bool anew);
  void End(int number, Lifecycle lifecycle, bool silent);
  void Drain(int number, bool draining);
  void Replace(const std::vector<int>& numbers, std::size_t from, int fault, std::function<void()> done);

  ServerWorld world_;
  Journal& journal_;
  DiscoveryShell* discovery_ = nullptr;
  Micros late_ = 0;
  std::vector<Server> servers_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SERVERS_HPP_
