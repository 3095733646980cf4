#include "control/api/server_connection.hpp"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <limits>
#include <utility>

#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"
#include "control/api/http_status.hpp"

namespace violetwing::http {
namespace {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::size_t kMaxHeadBytes = 65'536;
// What the connection reads before it is parsed. It bounds the header of a chunk and trailers, too.
constexpr std::size_t kMaxInputBytes = kMaxHeadBytes + 4096;
// What a request holds while it is read, in addition to its body.
constexpr std::size_t kReadingBytes = std::size_t{16} * 1024;
constexpr milliseconds kIdleTimeout{60'000};
// Maximum time for a complete request to arrive, for a response to be taken, and for the peer to close its
// side after the last response. A request may be served for as long as its handler needs.
constexpr milliseconds kRequestTimeout{20'000};
constexpr milliseconds kWriteTimeout{20'000};
constexpr milliseconds kLingerTimeout{1000};
constexpr milliseconds kNoTimeout{0};
constexpr const char* kRetryAfterOverloadS = "0.5";

std::string Head(const Response& response, std::size_t body_bytes, bool keep_alive) {
  std::string head =
      "HTTP/1.1 " + std::to_string(response.status) + " " + ReasonPhrase(response.status) + "\r\n";
  const auto add = [&head](const std::string& name, const std::string& value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  add("Content-Type", ContentType(response.type));
  for (const auto& [name, value] : response.headers) add(name, value);
  add("Content-Length", std::to_string(body_bytes));
  if (!keep_alive) add("Connection", "close");
  return head + "\r\n";
}

// Appends the text without copying it.
void AddText(evbuffer* out, std::string text) {
  auto owned = std::make_unique<std::string>(std::move(text));
  const auto release = [](const void*, std::size_t, void* string) {
    delete static_cast<std::string*>(string);
  };
  if (evbuffer_add_reference(out, owned->data(), owned->size(), release, owned.get()) == 0)
    static_cast<void>(owned.release());
}

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

}  // namespace

ServerConnection::ServerConnection(const ServerContext& server, evutil_socket_t socket, OnClosed on_closed)
    : server_(server),
      on_closed_(std::move(on_closed)),
      socket_(MakeSocketBufferEvent(server.base, socket)),
      timeout_(event_new(
          server.base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<ServerConnection*>(self)->Close(); }, this)),
      claim_(
          *server.budget, [this](Eviction eviction) { GiveWay(eviction); }, SteadyMicros()) {
  bufferevent_setcb(
      socket_.get(), [](bufferevent*, void* self) { static_cast<ServerConnection*>(self)->OnReadable(); },
      [](bufferevent*, void* self) { static_cast<ServerConnection*>(self)->OnWritten(); },
      [](bufferevent*, short, void* self) { static_cast<ServerConnection*>(self)->Close(); }, this);
  bufferevent_setwatermark(socket_.get(), EV_READ, 0, kMaxInputBytes);
}

void ServerConnection::Start() { AwaitRequest(); }

void ServerConnection::Close() {
  if (on_closed_ == nullptr) return;
  const auto self = shared_from_this();
  claim_.Release();
  timeout_.reset();
  socket_.reset();
  std::exchange(on_closed_, nullptr)(self);
}

// ---- What the connection holds ----

void ServerConnection::Enter(Phase phase, ConnectionPhase claim_phase, milliseconds timeout) {
  phase_ = phase;
  claim_.Enter(claim_phase, SteadyMicros());
  event_del(timeout_.get());
  if (timeout == kNoTimeout) return;
  const timeval span{static_cast<time_t>(timeout.count() / 1000),
                     static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  event_add(timeout_.get(), &span);
}

bool ServerConnection::Hold(std::size_t bytes) {
  const std::size_t input = evbuffer_get_length(bufferevent_get_input(socket_.get()));
  return claim_.Resize(kIdleConnectionBytes + input + bytes, SteadyMicros());
}

void ServerConnection::GiveWay(Eviction eviction) {
  if (eviction == Eviction::kMemory && phase_ == Phase::kReading) return RejectWith(kServiceUnavailable);
  Close();
}

// ---- Reading ----

void ServerConnection::AwaitRequest() {
  Enter(Phase::kIdle, ConnectionPhase::kIdle, kIdleTimeout);
  if (!Hold(0)) return Close();
  bufferevent_enable(socket_.get(), EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0) OnReadable();
}

void ServerConnection::OnReadable() {
  const auto self = shared_from_this();
  evbuffer* input = bufferevent_get_input(socket_.get());
  if (phase_ == Phase::kLingering) evbuffer_drain(input, evbuffer_get_length(input));
  if (phase_ == Phase::kIdle) {
    Enter(Phase::kReading, ConnectionPhase::kReading, kRequestTimeout);
    head_complete_ = false;
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  }
  if (phase_ == Phase::kReading) Parse();
}

void ServerConnection::Parse() {
  if (const ErrorCode error = ParseInput()) return Reject(error);
  if (parser_->is_done()) return Dispatch();
  if (evbuffer_get_length(bufferevent_get_input(socket_.get())) > kMaxHeadBytes)
    return Reject(beast_http::error::header_limit);
  if (!Hold(kReadingBytes + parser_->get().body().size())) RejectWith(kServiceUnavailable);
}

ServerConnection::ErrorCode ServerConnection::ParseInput() {
  evbuffer* input = bufferevent_get_input(socket_.get());
  while (!parser_->is_done()) {
    const std::size_t available = evbuffer_get_length(input);
    if (available == 0) return {};
    ErrorCode error;
    const std::size_t used = parser_->put(boost::asio::buffer(evbuffer_pullup(input, -1), available), error);
    evbuffer_drain(input, used);
    if (error == beast_http::error::need_more) return {};
    if (!error && !head_complete_ && parser_->is_header_done()) error = OnHead();
    if (error) return error;
  }
  return {};
}

ServerConnection::ErrorCode ServerConnection::OnHead() {
  head_complete_ = true;
  const auto& message = parser_->get();
  body_rule_ = server_.body_rule(std::string(message.method_string()), PathOf(std::string(message.target())));
  parser_->body_limit(body_rule_.max_bytes);
  if (const auto length = parser_->content_length(); length && *length > body_rule_.max_bytes)
    return beast_http::error::body_limit;
  if (beast::iequals(message[beast_http::field::expect], "100-continue"))
    evbuffer_add_printf(bufferevent_get_output(socket_.get()), "HTTP/1.1 100 Continue\r\n\r\n");
  return {};
}

// ---- Serving ----

void ServerConnection::Dispatch() {
  // What follows stays in the socket until the response is written.
  bufferevent_disable(socket_.get(), EV_READ);
  Enter(Phase::kServing, ConnectionPhase::kServing, kNoTimeout);
  auto& message = parser_->get();
  keep_alive_ = message.keep_alive();
  Request request;
  request.method = std::string(message.method_string());
  request.path = PathOf(std::string(message.target()));
  request.if_match = std::string(message[beast_http::field::if_match]);
  request.body = std::move(message.body());
  parser_.reset();
  if (!Hold(request.body.size() * body_rule_.copies + kReadingBytes + kMaxUnreadBytes))
    return RejectWith(kServiceUnavailable);
  const std::shared_ptr<std::size_t> unanswered = server_.unanswered;
  ++*unanswered;
  auto answered = std::make_shared<bool>(false);
  server_.handler(std::move(request), [weak = weak_from_this(), number = ++request_number_, unanswered,
                                       answered](Response response) {
    if (std::exchange(*answered, true)) return;
    --*unanswered;
    if (const auto self = weak.lock()) self->Respond(number, std::move(response));
  });
}

void ServerConnection::Respond(std::uint64_t request_number, Response response) {
  const bool is_pending = on_closed_ != nullptr && phase_ == Phase::kServing;
  if (!is_pending || request_number != request_number_) return;
  // An acknowledgement never holds more than its request did.
  if (!Hold(std::max(response.body.size(), kReadingBytes) + kMaxUnreadBytes))
    return RejectWith(kServiceUnavailable);
  Write(std::move(response));
}

void ServerConnection::Reject(ErrorCode error) {
  if (error == beast_http::error::header_limit) return RejectWith(kRequestHeaderFieldsTooLarge);
  if (error == beast_http::error::body_limit) return RejectWith(kContentTooLarge);
  RejectWith(kBadRequest);
}

void ServerConnection::RejectWith(int status) {
  const auto self = shared_from_this();
  parser_.reset();
  evbuffer* input = bufferevent_get_input(socket_.get());
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_disable(socket_.get(), EV_READ);
  keep_alive_ = false;
  // A reduction, or what is held already.
  static_cast<void>(Hold(0));
  Response response;
  response.status = status;
  response.body = "{}";
  if (status == kServiceUnavailable) response.headers = {{"Retry-After", kRetryAfterOverloadS}};
  Write(std::move(response));
}

void ServerConnection::Write(Response response) {
  Enter(Phase::kWriting, ConnectionPhase::kWriting, kWriteTimeout);
  if (response.type == BodyType::kJson) response.body += "\n";  // for readability in a terminal
  evbuffer* out = evbuffer_new();
  AddText(out, Head(response, response.body.size(), keep_alive_));
  if (!response.body.empty()) AddText(out, std::move(response.body));
  bufferevent_write_buffer(socket_.get(), out);
  evbuffer_free(out);
}

void ServerConnection::OnWritten() {
  if (phase_ != Phase::kWriting) return;  // the interim response
  if (keep_alive_) return AwaitRequest();
  Linger();
}

// Closing a socket with unread bytes would reset the connection and may destroy the end of the response.
void ServerConnection::Linger() {
  Enter(Phase::kLingering, ConnectionPhase::kClosing, kLingerTimeout);
  static_cast<void>(Hold(0));
  shutdown(bufferevent_getfd(socket_.get()), SHUT_WR);
  bufferevent_enable(socket_.get(), EV_READ);
  OnReadable();
}

}  // namespace violetwing::http
