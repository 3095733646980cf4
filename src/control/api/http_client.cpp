#include "control/api/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

#include "control/api/evhttp_message.hpp"
#include "control/api/host_port.hpp"

namespace violetwing::http {

namespace {

constexpr ev_ssize_t kMaxHeadBytes = 65'536;
// 16 MiB, for replies of control processes.
constexpr ev_ssize_t kMaxBodyBytes = 16'777'216;
// What is read and not parsed yet. A chunk is parsed once it is complete.
constexpr std::size_t kMaxBufferedBytes = std::size_t{1024} * 1024;

}  // namespace

Client::~Client() {
  for (auto& [address, connection] : connections_) evhttp_connection_free(connection->handle);
}

Client::ConnectionPtr Client::IdleConnection(const std::string& address) {
  const auto [begin, end] = connections_.equal_range(address);
  for (auto it = begin; it != end; ++it)
    if (!it->second->busy) return it->second;
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed) return nullptr;
  auto connection = std::make_shared<Connection>();
  connection->handle = evhttp_connection_base_new(base_, nullptr, parsed->host.c_str(), parsed->port);
  evhttp_connection_set_max_headers_size(connection->handle, kMaxHeadBytes);
  evhttp_connection_set_max_body_size(connection->handle, kMaxBodyBytes);
  // Bounds the line of a chunk that has no end.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection->handle), EV_READ, 0,
                           kMaxBufferedBytes);
  connections_.emplace(address, connection);
  return connection;
}

void Client::Call(const std::string& address, const std::string& method, const std::string& path,
                  std::string body, std::chrono::milliseconds timeout, ResponseCallback done,
                  const Headers& extra, BodyType type) {
  const ConnectionPtr connection = IdleConnection(address);
  if (connection == nullptr) return done(0, {});
  const timeval limit{static_cast<time_t>(timeout.count() / 1000),
                      static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  evhttp_connection_set_timeout_tv(connection->handle, &limit);
  connection->last_used_at = std::chrono::steady_clock::now();
  connection->busy = true;
  evhttp_request* request =
      evhttp_request_new(&Client::OnDone, new PendingRequest{connection, std::move(done)});
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address.c_str());
  for (const auto& [name, value] : extra) evhttp_add_header(headers, name.c_str(), value.c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", ContentType(type));
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  evhttp_make_request(connection->handle, request, MethodType(method), path.c_str());
  ResetOnClose(connection->handle);
}

// A request that has timed out must not reach its peer later. Without the reset, the kernel would still send
// its bytes after the close, once the network path is restored.
void Client::ResetOnClose(evhttp_connection* connection) {
  const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const linger reset_on_close{1, 0};
  if (socket >= 0) setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
}

void Client::OnDone(evhttp_request* request, void* pending) {
  const std::unique_ptr<PendingRequest> call(static_cast<PendingRequest*>(pending));
  if (const auto connection = call->connection.lock()) connection->busy = false;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  call->done(status, status == 0 ? std::string() : TakeBody(request));
}

void Client::CloseIdle(std::chrono::seconds max_idle) {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    const bool idle = !it->second->busy && now - it->second->last_used_at > max_idle;
    if (idle) evhttp_connection_free(it->second->handle);
    it = idle ? connections_.erase(it) : std::next(it);
  }
}

}  // namespace violetwing::http
