#include "dataplane/ingress/ingress.hpp"

#include <chrono>
#include <utility>

#include "common/http_client.hpp"
#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"

namespace violetwing {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

Ingress::Ingress(asio::io_context& io, ConnectionBudget::Limits budget, Handler handler)
    : io_(io), handler_(std::move(handler)), budget_(budget), acceptor_(io), accept_retry_timer_(io) {}

std::error_code Ingress::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  // Accepted connections inherit the sizes.
  boost::system::error_code ignored;
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  acceptor_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) return {error.value(), std::generic_category()};
  Accept();
  return {};
}

void Ingress::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {  // such as out of file descriptors: retry later
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](boost::system::error_code timer_error) {
        if (!timer_error) Accept();
      });
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void Ingress::OnAccepted(asio::ip::tcp::socket socket) {
  if (!budget_.AdmitConnection(SteadyMicros())) return;  // closes the socket
  const auto connection = std::make_shared<ClientConnection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->Start();
}

void Ingress::StopListening() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  const std::set<ClientPtr> connections = connections_;
  for (const ClientPtr& connection : connections) connection->CloseIfIdle();
}

void Ingress::CloseAll() {
  StopListening();
  const std::set<ClientPtr> connections = connections_;
  for (const ClientPtr& connection : connections) connection->Close();
}

}  // namespace violetwing
