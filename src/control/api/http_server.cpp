#include "control/api/http_server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"
#include "control/api/host_port.hpp"

namespace violetwing::http {
namespace {

constexpr int kBacklog = 512;
constexpr timeval kAcceptRetryDelay{0, 50'000};

std::error_code LastError() { return {errno, std::generic_category()}; }

void SetOption(int socket, int option, int value) {
  setsockopt(socket, SOL_SOCKET, option, &value, sizeof value);
}

// A socket that is bound to the address. Accepted connections inherit the sizes of its buffers.
int Bind(const sockaddr* address, int size, std::error_code& error) {
  const int bound = socket(address->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bound < 0) {
    error = LastError();
    return -1;
  }
  SetOption(bound, SO_REUSEADDR, 1);
  SetOption(bound, SO_RCVBUF, kReceiveBufferBytes);
  SetOption(bound, SO_SNDBUF, kSendBufferBytes);
  if (bind(bound, address, static_cast<socklen_t>(size)) == 0) return bound;
  error = LastError();
  close(bound);
  return -1;
}

}  // namespace

Server::Server(event_base* base, ConnectionBudget::Limits limits, BodyRules body_rules, Handler handler)
    : budget_(limits),
      context_{base, &budget_, std::move(body_rules), std::move(handler), std::make_shared<std::size_t>(0)},
      accept_retry_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
            auto* const server = static_cast<Server*>(self);
            if (server->listener_ != nullptr) evconnlistener_enable(server->listener_.get());
          },
          this)),
      release_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<Server*>(self)->closed_.clear(); }, this)) {}

Server::~Server() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->Close();
}

std::error_code Server::Listen(const std::string& address) {
  sockaddr_storage to{};
  int size = sizeof to;
  auto* const generic = reinterpret_cast<sockaddr*>(&to);
  if (!ParseHostPort(address) || evutil_parse_sockaddr_port(address.c_str(), generic, &size) != 0)
    return std::make_error_code(std::errc::invalid_argument);
  std::error_code error;
  const int socket = Bind(generic, size, error);
  if (socket < 0) return error;
  errno = 0;
  listener_.reset(evconnlistener_new(
      context_.base,
      [](evconnlistener*, evutil_socket_t accepted, sockaddr*, int, void* self) {
        static_cast<Server*>(self)->OnAccepted(accepted);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kBacklog, socket));
  if (listener_ == nullptr) {
    error = LastError();
    close(socket);
    return error ? error : std::make_error_code(std::errc::address_not_available);
  }
  evconnlistener_set_error_cb(
      listener_.get(), [](evconnlistener*, void* self) { static_cast<Server*>(self)->OnAcceptError(); });
  return {};
}

void Server::StopListening() { listener_.reset(); }

void Server::OnAccepted(evutil_socket_t socket) {
  if (!budget_.AdmitConnection(SteadyMicros())) {
    close(socket);
    return;
  }
  const auto connection = std::make_shared<ServerConnection>(
      context_, socket,
      [this](const std::shared_ptr<ServerConnection>& closed) { OnConnectionClosed(closed); });
  connections_.insert(connection);
  connection->Start();
}

void Server::OnAcceptError() {
  evconnlistener_disable(listener_.get());
  event_add(accept_retry_.get(), &kAcceptRetryDelay);
}

// Deferred, as the connection may still be in one of its functions.
void Server::OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection) {
  closed_.insert(connection);
  connections_.erase(connection);
  event_active(release_.get(), EV_TIMEOUT, 0);
}

}  // namespace violetwing::http
