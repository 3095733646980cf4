// An emulated server: the model of core.hpp behind sockets that speak the platform's protocol (PROTOCOL,
// "Sidecars to servers"). Records each request that arrives whole.
#ifndef VIOLETWING_LAB_SERVER_SHELL_HPP_
#define VIOLETWING_LAB_SERVER_SHELL_HPP_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/door.hpp"
#include "lab/link/stream.hpp"
#include "lab/server/core.hpp"
#include "lab/world.hpp"

namespace violetwing::lab {

class ServerSession;

struct ServerWorld : World {
  const SendTimes& send_times;
};

class ServerShell {
 public:
  // `pod` is shared by the servers of one cell. `on_door` hears of each change of who listens.
  ServerShell(const ServerWorld& world, int number, std::shared_ptr<KeyMemory> pod,
              std::function<void(Door::State)> on_door);
  ~ServerShell();
  ServerShell(const ServerShell&) = delete;
  ServerShell& operator=(const ServerShell&) = delete;

  // A process starts under `id`: at the same address, as nobody else may have it meanwhile.
  void Start(const std::string& id, bool cold);
  // It ends: its connections are reset, new ones refused, and its work is gone.
  void Crash();
  // The machine says nothing any more. Crash or Start ends that.
  void Vanish();
  void Drain(bool draining) { core_.Drain(draining); }
  void Slow(double factor);
  void Errors(double share) { errors_ = share; }

  const std::string& id() const { return id_; }
  int number() const { return number_; }
  bool up() const { return core_.up(); }
  const Tcp::endpoint& address() const { return door_.address(); }

 private:
  friend class ServerSession;

  void OnAccept(Tcp::socket socket);
  // Settles what has ended by now, and sets the timer for what is next.
  void Advance();
  void End();
  void Fall();
  void SetDoor(Door::State state);

  ServerWorld world_;
  int number_;
  ServerSpec spec_;
  ServerCore core_;
  std::shared_ptr<KeyMemory> pod_;
  std::function<void(Door::State)> on_door_;
  std::string id_;
  int life_ = -1;
  double errors_ = 0;
  bool silent_ = false;
  asio::steady_timer timer_;
  std::set<std::shared_ptr<ServerSession>> sessions_;
  std::map<std::uint64_t, std::weak_ptr<ServerSession>> jobs_;  // by the index of the attempt's record
  Door door_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SERVER_SHELL_HPP_
