// The servers of a run: their processes as the faults move them, and discovery hearing of it in its own time.
#ifndef VIOLETWING_LAB_SERVERS_HPP_
#define VIOLETWING_LAB_SERVERS_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "lab/discovery/shell.hpp"
#include "lab/journal.hpp"
#include "lab/server/shell.hpp"

namespace violetwing::lab {

// Hears at once what happens to the servers' processes, as what runs beside them would.
class Beside {
 public:
  virtual ~Beside() = default;
  virtual void Begun(const Entry& entry) = 0;  // also again, under the same id
  virtual void Drains(const Entry& entry, bool drains) = 0;
  virtual void Leaves(const Entry& entry) = 0;  // in good order
  virtual void Lost(const Entry& entry) = 0;    // with whatever ran beside it
};

class Servers {
 public:
  Servers(const ServerWorld& world, Journal& journal, const std::function<void(int, Door::State)>& on_door);

  void Follow(DiscoveryShell& discovery);  // who hears of changes; tells it all at once
  void SetBeside(Beside& beside);          // tells it of all that run
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
  enum class Way { kInOrder, kCrash, kSilent };
  void End(int number, Way way);
  void Drain(int number, bool draining);
  void Replace(const std::vector<int>& numbers, std::size_t from, int fault, std::function<void()> done);

  ServerWorld world_;
  Journal& journal_;
  DiscoveryShell* discovery_ = nullptr;
  Beside* beside_ = nullptr;  // null if nothing runs there
  Micros late_ = 0;
  std::vector<Server> servers_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SERVERS_HPP_
