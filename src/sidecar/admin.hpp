// The HTTP listener for operators. It serves one request per connection, on the sidecar's event loop.
#ifndef VIOLETWING_SIDECAR_ADMIN_HPP_
#define VIOLETWING_SIDECAR_ADMIN_HPP_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "sidecar/balancer_types.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

/// Serves readiness, metrics and orders for servers and zones at an address of their own.
class Admin {
 public:
  /// Maximum number of open connections; a descriptor is reserved for each. A further connection closes the
  /// oldest one.
  static constexpr std::size_t kMaxConnections = 16;

  /// The result of an order for a server or a zone.
  enum class OrderResult {
    kDone,
    kUnknown,            // a server that was never listed, or a zone that the settings lack
    kNoServerElsewhere,  // draining the zone would leave no usable server in another zone
    kNotStored,          // the order could not be stored in $TMPDIR
  };
  /// Handlers of the requests. `duration` is in microseconds; 0 means at once.
  struct Events {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<OrderResult(const std::string& server)> disable;
    std::function<OrderResult(const std::string& server)> enable;
    std::function<OrderResult(const std::string& zone, bool drains, Micros duration)> order_zone;
  };

  /// Throws boost::system::system_error if it cannot listen on `address`.
  Admin(asio::io_context& io, const Tcp::endpoint& address, Events events);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  /// The address that it listens on, with the port that the kernel chose if `address` had port 0.
  Tcp::endpoint address() const { return address_; }
  /// Number of open connections.
  std::size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  HttpResponse Handle(const http::request<http::string_body>& request) const;

  asio::io_context& io_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer accept_retry_timer_;
  std::list<ConnectionPtr> connections_;  // oldest first
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_ADMIN_HPP_
