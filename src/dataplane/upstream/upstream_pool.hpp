// The pool of idle HTTP/1.1 connections to servers, on which exchanges are started.
#ifndef VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_POOL_HPP_
#define VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dataplane/upstream/upstream_exchange.hpp"

namespace violetwing {

/// Starts exchanges and keeps idle connections for each server. Must outlive its exchanges.
class UpstreamPool {
 public:
  /// All members and callbacks run on the thread of `io`. `max_idle`: idle connections to all servers.
  UpstreamPool(boost::asio::io_context& io, std::size_t max_idle) : io_(io), max_idle_(max_idle) {}

  /// Starts an exchange on an idle connection, or on a new one if there is none. No callback is called before
  /// this returns.
  std::shared_ptr<UpstreamExchange> Start(UpstreamExchange::Request request, UpstreamExchange::Events events);
  /// Closes idle connections that have expired, and those to servers for which `is_alive` returns false.
  void CloseIdleExcept(const std::function<bool(const std::string& instance)>& is_alive);
  /// Closes all idle connections.
  void CloseAll();
  /// Whether there is an idle connection to the server, which the server may have closed meanwhile.
  bool HasIdle(const std::string& instance) const { return idle_.count(instance) > 0; }
  /// The io_context on which the exchanges run.
  boost::asio::io_context& io() { return io_; }

 private:
  friend class UpstreamExchange;
  using Tcp = boost::asio::ip::tcp;
  struct IdleConnection {
    std::shared_ptr<Tcp::socket> socket;
    std::chrono::steady_clock::time_point expires_at;
  };

  std::shared_ptr<Tcp::socket> TakeIdle(const std::string& instance);
  void PutIdle(const std::string& instance, std::shared_ptr<Tcp::socket> socket,
               std::chrono::milliseconds idle_timeout);
  void WatchIdle(const std::string& instance, const std::shared_ptr<Tcp::socket>& socket);

  std::size_t CountIdle() const;

  boost::asio::io_context& io_;
  const std::size_t max_idle_;
  std::map<std::string, std::deque<IdleConnection>> idle_;  // by instance id; the oldest first
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_POOL_HPP_
