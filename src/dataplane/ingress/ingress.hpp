// The listener for client connections.
#ifndef VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_
#define VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <system_error>

#include "common/connection_budget.hpp"
#include "control/configuration/reader.hpp"
#include "dataplane/ingress/client_connection.hpp"

namespace violetwing {

/// A listener and the connections that it has accepted. Must be used on the thread of `io` only.
class Ingress {
 public:
  /// Called with each request; responds through the connection.
  using Handler = std::function<void(const ClientPtr&, ClientRequest)>;

  /// Opens no socket; Listen does. `budget`: what the connections may hold together.
  Ingress(boost::asio::io_context& io, ConnectionBudget::Limits budget, Handler handler);
  /// Listens on `address` ("host:port"). Returns std::errc::invalid_argument for an invalid address, else the
  /// error of the socket.
  std::error_code Listen(const std::string& address);
  /// From now on, responses carry "Connection: close" and their connections are closed after them.
  void SetClosing() { closing_ = true; }
  /// Stops accepting connections and closes the idle ones.
  void StopListening();
  /// Stops listening and closes all connections, including those with requests in flight.
  void CloseAll();
  /// Sets the limits of requests that begin from now on.
  void SetLimits(const configuration::Limits& limits) { limits_ = limits; }
  /// Number of connections on which a request is being read or answered.
  std::size_t busy() const { return busy_; }
  /// Number of connections on which a request is being read or answered, or whose client has not yet closed
  /// its side after the last response.
  std::size_t open_responses() const { return busy_ + lingering_; }

 private:
  friend class ClientConnection;
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  const Handler handler_;
  ConnectionBudget budget_;  // outlives the connections
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  configuration::Limits limits_;
  std::set<ClientPtr> connections_;
  std::size_t busy_ = 0;
  std::size_t lingering_ = 0;
  bool closing_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_
