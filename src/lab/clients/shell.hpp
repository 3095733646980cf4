// The application beside one sidecar: sends what the plan says when it says so, whatever has become of what
// was sent before (an open loop), tries again by itself, gives up, leaves early. Records each try.
#ifndef VIOLETWING_LAB_CLIENTS_SHELL_HPP_
#define VIOLETWING_LAB_CLIENTS_SHELL_HPP_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/world.hpp"

namespace violetwing::lab {

class ClientConnection;
struct ClientCall;

struct ClientWorld : World {
  // Whether a server has got a request of this id: only then may it have been read.
  std::function<bool(const std::string& id)> attempted;
  // The last byte of the first try of this request has been written.
  std::function<void(std::size_t arrival)> on_sent;
};

class Application {
 public:
  Application(const ClientWorld& world, Tcp::endpoint sidecar);
  ~Application();
  Application(const Application&) = delete;
  Application& operator=(const Application&) = delete;

  // Begins the request of this number; its planned time is now.
  void Begin(std::size_t arrival);
  // Requests that are not ended, and clients that still listen for the answer to one.
  std::size_t open() const { return calls_.size() + staying_; }

 private:
  friend class ClientConnection;
  using Call = std::shared_ptr<ClientCall>;

  void Try(const Call& call);
  void Send(const Call& call);
  void OnEnd(const Call& call, TryEnd end, int status, Micros retry_after);
  void TryLater(const Call& call, Micros wait);
  void Finish(const Call& call);
  TryRecord& Record(const ClientCall& call);
  std::string Request(const ClientCall& call) const;

  ClientWorld world_;
  Tcp::endpoint sidecar_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::set<std::shared_ptr<ClientConnection>> connections_;
  std::set<Call> calls_;
  std::size_t staying_ = 0;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_CLIENTS_SHELL_HPP_
