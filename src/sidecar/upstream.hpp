// Connections to the servers: one request on each at a time, the most recently used first. Carries out an
// attempt exactly once and says what became of it; never sends one again by itself.
#ifndef VIOLETWING_SIDECAR_UPSTREAM_HPP_
#define VIOLETWING_SIDECAR_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sidecar/balancer_types.hpp"
#include "sidecar/body.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

struct UpstreamAnswer {
  Result result = Result::kUnreachable;
  ResponseHead head;       // of interest after a success ...
  BodyPtr body = nullptr;  // ... as is the body, which is whole; null if the answer has begun before
};

class Upstream {
 public:
  using AttemptId = std::uint64_t;
  struct Events {
    // Called once, from the loop and never from in here, unless the attempt is given up.
    std::function<void(UpstreamAnswer)> done;
    // Called before that if the answer is to be passed on as it comes: it is too long to be held, or its end
    // is not in sight. What is wrong with it later breaks the body.
    std::function<void(const ResponseHead&, const BodyPtr&)> begun;
  };
  struct Limits {
    Micros keep_idle = 0;     // an idle connection is closed after so long; 0 = only when its peer does
    Micros dial_timeout = 0;  // 0 = as long as the attempt lasts
    std::size_t connections = 512;
  };

  // What an attempt sends. A body that is still coming is passed on as it comes.
  struct Order {
    RequestHead head;
    BodyPtr body;
    Micros left = 0;  // the server is told so much, less what a dial takes of it; 0 = not told
    // A connection that comes up later than this is closed with nothing written, and the attempt is
    // kNeverSent; 0 = whenever.
    Micros begin_within = 0;
  };

  // Either may be empty.
  struct Hooks {
    std::function<void()> written;  // an attempt has been written whole
    // A connection has come up, and whether its server may still be sent to is looked at next.
    std::function<void()> before_look;
  };

  Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget, Hooks hooks);
  Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget)
      : Upstream(io, limits, std::move(budget), Hooks()) {}
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Takes a list. A server that drains, is gone, has moved or has restarted loses its idle connections; what
  // is under way on the others finishes.
  void Apply(const EndpointList& list);

  // Takes a server out of use: idle connections to it close, and dials not yet written fail. What is under
  // way finishes.
  void Retire(const std::string& server);

  // Starts an attempt.
  AttemptId Send(const std::string& server, Order order, Events events);
  // Ends an attempt by closing its connection; its `done` is not called any more.
  void GiveUp(AttemptId attempt);
  // Gives up an attempt of which nothing has been written; false if it has.
  bool Withdraw(AttemptId attempt);

  bool any_server() const { return !servers_.empty(); }
  std::size_t open_connections() const { return open_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  static void Update(Server& server, const Endpoint& endpoint);
  static void CloseIdle(Server& server);
  ConnectionPtr TakeIdle(Server& server);
  bool MakeRoom();
  AttemptId FailLater(Events events, Result result);
  void Release(const ConnectionPtr& connection);
  void Forget(const Connection& connection);
  void SweepLater();
  void Sweep();

  asio::io_context& io_;
  const Limits limits_;
  const std::shared_ptr<BufferBudget> budget_;
  const Hooks hooks_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  std::size_t open_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;  // null: it has failed, which is about to be told
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_UPSTREAM_HPP_
