// The listener for connections of clients.
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

#include "control/configuration/reader.hpp"
#include "dataplane/ingress/client_connection.hpp"

namespace violetwing {

/// A listener and the connections that it accepted. Used on the thread of `io`.
class Ingress {
 public:
  /// Gets each request, and responds to it through the connection.
  using Handler = std::function<void(const ClientPtr&, ClientRequest)>;

  /// Opens nothing yet.
  Ingress(boost::asio::io_context& io, Handler handler);
  /// Listens at `address` ("host:port"). Errors: an invalid address, or those of the socket.
  std::error_code Listen(const std::string& address);
  /// From now on responses announce that the connection closes after them.
  void SetClosing() { closing_ = true; }
  /// Accepts no more connections, and closes the idle ones.
  void StopListening();
  /// Closes all connections, also with requests in progress.
  void CloseAll();
  /// Limits for requests that begin from now on.
  void SetLimits(const configuration::Limits& limits) { limits_ = limits; }
  /// Connections on which a request is being read or answered.
  std::size_t busy() const { return busy_; }

 private:
  friend class ClientConnection;
  void Accept();

  boost::asio::io_context& io_;
  const Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  configuration::Limits limits_;
  std::set<ClientPtr> connections_;
  std::size_t busy_ = 0;
  bool closing_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_
