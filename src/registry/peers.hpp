// The other registries: asks each what it says of itself, and follows the one that the role's core chooses.
#ifndef VIOLETWING_REGISTRY_PEERS_HPP_
#define VIOLETWING_REGISTRY_PEERS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/http_client.hpp"
#include "registry/role/core.hpp"

namespace violetwing::registry {

// What GET /v1/status says of a registry's role; throws JsonError if it says nothing of it.
Standing ParseStanding(const std::string& status);

class Peers {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  struct Events {
    std::function<Micros()> now;
    std::function<std::int64_t()> generation;        // of the list here
    std::function<bool(const Replica&)> on_replica;  // false if it was not taken: the watch begins again
    std::function<void()> on_heard;                  // something about the others; time to decide
    std::function<void(const std::string& what, const std::string& who)> on_trouble;
  };

  // `core` outlives it.
  Peers(boost::asio::io_context& io, std::vector<Endpoint> others, RoleCore& core, Events events);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  void Start();
  // Opens the watch at the core's choice, or ends it where there is none.
  void Follow();
  const Endpoint& address(std::size_t other) const { return others_[other].address; }

 private:
  struct Other {
    Endpoint address;
    std::shared_ptr<HttpExchange> asking;
  };

  void AskAll();
  void Ask(std::size_t other);
  void OpenWatch();
  void OnWatchEnd(const std::string& why);
  void Reopen();

  boost::asio::io_context& io_;
  std::vector<Other> others_;
  RoleCore& core_;
  const Events events_;
  boost::asio::steady_timer asks_;
  boost::asio::steady_timer reopens_;
  std::mt19937_64 random_;
  std::shared_ptr<HttpExchange> watch_;
  std::optional<std::size_t> watched_;
  int failures_ = 0;  // of the watch since it was last told something that was taken
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_PEERS_HPP_
