#include "control/api/http.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace violetwing::http {
namespace {

// The largest body that is taken, of the operator or of another control process.
constexpr ev_ssize_t kMostBody = 16'777'216;
constexpr ev_ssize_t kMostHeaders = 65'536;
// A connection on which nothing moves for so long is closed.
constexpr int kIdleSeconds = 60;

struct Method {
  evhttp_cmd_type type;
  const char* name;
};
constexpr Method kMethods[] = {{EVHTTP_REQ_GET, "GET"},
                               {EVHTTP_REQ_POST, "POST"},
                               {EVHTTP_REQ_PUT, "PUT"},
                               {EVHTTP_REQ_DELETE, "DELETE"},
                               {EVHTTP_REQ_PATCH, "PATCH"}};

std::string BodyOf(evhttp_request* request) {
  evbuffer* in = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(in);
  std::string body(size, '\0');
  if (size > 0) evbuffer_remove(in, body.data(), size);
  return body;
}

const char* ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 412:
      return "Precondition Failed";
    case 503:
      return "Service Unavailable";
    default:
      return "Answer";
  }
}

const char* NameOf(BodyType type) {
  return type == BodyType::kJson ? "application/json" : "application/octet-stream";
}

void Send(evhttp_request* request, const Response& response) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", NameOf(response.type));
  for (const auto& [name, value] : response.headers) evhttp_add_header(headers, name.c_str(), value.c_str());
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, response.body.data(), response.body.size());
  if (response.type == BodyType::kJson) evbuffer_add(out, "\n", 1);  // for those who read it in a terminal
  evhttp_send_reply(request, response.status, ReasonOf(response.status), out);
  evbuffer_free(out);
}

}  // namespace

bool Split(const std::string& address, std::string& host, std::uint16_t& port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  host = address.substr(0, colon);
  const char* const last = address.data() + address.size();
  const auto [end, error] = std::from_chars(address.data() + colon + 1, last, port);
  return error == std::errc() && end == last && port != 0;
}

// ---- Server ----

Server::Server(event_base* base, Handler handler) : http_(evhttp_new(base)), handler_(std::move(handler)) {
  evhttp_set_gencb(http_, &Server::OnRequest, this);
  evhttp_set_allowed_methods(
      http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_max_body_size(http_, kMostBody);
  evhttp_set_max_headers_size(http_, kMostHeaders);
  evhttp_set_timeout(http_, kIdleSeconds);
}

Server::~Server() { evhttp_free(http_); }

std::error_code Server::Listen(const std::string& address) {
  std::string host;
  std::uint16_t port = 0;
  if (!Split(address, host, port)) return std::make_error_code(std::errc::invalid_argument);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http_, host.c_str(), port);
  if (socket == nullptr) return std::error_code(errno, std::generic_category());
  sockets_.push_back(socket);
  return {};
}

void Server::StopListening() {
  for (evhttp_bound_socket* socket : sockets_) evhttp_del_accept_socket(http_, socket);
  sockets_.clear();
}

void Server::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<Server*>(self);
  Request in;
  for (const Method& method : kMethods)
    if (method.type == evhttp_request_get_command(request)) in.method = method.name;
  const char* uri = evhttp_request_get_uri(request);
  in.path = uri == nullptr ? "" : uri;
  in.path = in.path.substr(0, in.path.find('?'));
  const char* if_match = evhttp_find_header(evhttp_request_get_input_headers(request), "If-Match");
  if (if_match != nullptr) in.if_match = if_match;
  in.body = BodyOf(request);
  auto open = server->unanswered_;
  ++*open;
  auto answered = std::make_shared<bool>(false);
  server->handler_(std::move(in), [request, open, answered](const Response& response) {
    if (std::exchange(*answered, true)) return;
    --*open;
    Send(request, response);
  });
}

// ---- Client ----

Client::~Client() {
  for (auto& [address, connection] : connections_) evhttp_connection_free(connection->handle);
}

void Client::Call(const std::string& address, const std::string& method, const std::string& path,
                  std::string body, std::chrono::milliseconds silence, Done done, const Headers& extra,
                  BodyType type) {
  std::shared_ptr<Connection>& connection = connections_[address];
  if (connection == nullptr) {
    std::string host;
    std::uint16_t port = 0;
    if (!Split(address, host, port)) {
      connections_.erase(address);
      return done(0, {});
    }
    connection = std::make_shared<Connection>();
    connection->handle = evhttp_connection_base_new(base_, nullptr, host.c_str(), port);
  }
  const timeval limit{static_cast<time_t>(silence.count() / 1000),
                      static_cast<suseconds_t>(silence.count() % 1000 * 1000)};
  evhttp_connection_set_timeout_tv(connection->handle, &limit);
  connection->used = std::chrono::steady_clock::now();
  ++connection->calls;
  evhttp_request* request = evhttp_request_new(&Client::OnDone, new Pending{connection, std::move(done)});
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address.c_str());
  for (const auto& [name, value] : extra) evhttp_add_header(headers, name.c_str(), value.c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", NameOf(type));
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  evhttp_cmd_type command = EVHTTP_REQ_GET;
  for (const Method& known : kMethods)
    if (method == known.name) command = known.type;
  evhttp_make_request(connection->handle, request, command, path.c_str());
  ResetOnClose(connection->handle);
}

// A call that was given up must not reach its peer later: a plain close would leave its bytes to the system,
// which sends them whenever the way is there again.
void Client::ResetOnClose(evhttp_connection* connection) {
  const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const linger at_once{1, 0};
  if (socket >= 0) setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void Client::OnDone(evhttp_request* request, void* pending) {
  const std::unique_ptr<Pending> call(static_cast<Pending*>(pending));
  if (const auto connection = call->connection.lock()) --connection->calls;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  call->done(status, status == 0 ? std::string() : BodyOf(request));
}

void Client::CloseIdle(std::chrono::seconds unused) {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    const bool idle = it->second->calls == 0 && now - it->second->used > unused;
    if (idle) evhttp_connection_free(it->second->handle);
    it = idle ? connections_.erase(it) : std::next(it);
  }
}

}  // namespace violetwing::http
