#include "dataplane/upstream/upstream_exchange.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <limits>
#include <utility>

#include "common/http_client.hpp"
#include "common/http_response.hpp"
#include "common/listener_limits.hpp"
#include "dataplane/upstream/upstream_pool.hpp"

namespace violetwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

// Maximum time to establish a connection. Nothing has been sent before, so that another server can be tried.
constexpr milliseconds kConnectTimeout{700};
// TCP_USER_TIMEOUT; detects a machine that lost power, which sends no reset.
constexpr int kTcpUserTimeoutMs = 4000;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
// Bounds what is read and not parsed yet: after the head, the header of a chunk, or a trailer.
constexpr std::size_t kMaxBufferedHeadBytes = kMaxHeadBytes + 4096;
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{32} * 1024;
// Time for which a connection is kept idle if the server sends no Keep-Alive timeout, and the fraction of
// that timeout otherwise: less than all of it, so that no request races with the server's close.
constexpr milliseconds kDefaultIdleTimeout{1500};
constexpr double kKeepAliveFraction = 0.6;

void SetOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int limit = kTcpUserTimeoutMs;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

// Before the connection is established, as the size of the receive window depends on it. Asio opens a socket
// that is not open yet as it connects.
void LimitBuffers(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.open(asio::ip::tcp::v4(), ignored);
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
}

// Time for which the connection may be kept idle; empty if it is not persistent.
std::optional<milliseconds> IdleTimeout(const beast::http::response<beast::http::buffer_body>& message) {
  if (!message.keep_alive()) return std::nullopt;
  const auto it = message.find(beast::http::field::keep_alive);
  if (it == message.end()) return kDefaultIdleTimeout;
  const std::string value(it->value());
  const std::size_t parameter = value.find("timeout=");
  const std::string digits = parameter == std::string::npos ? value : value.substr(parameter + 8);
  const double seconds = std::strtod(digits.c_str(), nullptr);
  return seconds <= 0 ? kDefaultIdleTimeout
                      : milliseconds(static_cast<long>(seconds * 1000 * kKeepAliveFraction));
}

}  // namespace

UpstreamExchange::UpstreamExchange(UpstreamPool& pool, Request request, Events events)
    : pool_(pool), request_(std::move(request)), events_(std::move(events)), connect_timer_(pool.io()) {}

void UpstreamExchange::Start(std::shared_ptr<Tcp::socket> reused) {
  if (reused == nullptr) return Connect();
  reused_ = true;
  socket_ = std::move(reused);
  Write();
}

void UpstreamExchange::Cancel() {
  if (std::exchange(finished_, true)) return;
  connect_timer_.cancel();
  ErrorCode ignored;
  if (socket_ != nullptr) socket_->close(ignored);
  events_ = {};
}

void UpstreamExchange::Connect() {
  socket_ = std::make_shared<Tcp::socket>(pool_.io());
  const auto endpoint = ParseEndpoint(request_.address);
  if (!endpoint) return Finish(ExchangeEnd::kUnreachable);
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (error || self->finished_ || self->sent_) return;
    self->Finish(ExchangeEnd::kUnreachable);
  });
  LimitBuffers(*socket_);
  socket_->async_connect(*endpoint, [self = shared_from_this()](ErrorCode error) {
    if (self->finished_) return;
    if (error) return self->Finish(ExchangeEnd::kUnreachable);
    self->Write();
  });
}

void UpstreamExchange::Write() {
  connect_timer_.cancel();
  if (request_.may_send && !request_.may_send()) return Finish(ExchangeEnd::kNotAllowed);
  if (!reused_) SetOptions(*socket_);
  sent_ = true;
  const std::array<asio::const_buffer, 2> request{
      asio::buffer(request_.head),
      request_.body == nullptr ? asio::const_buffer() : asio::buffer(*request_.body)};
  asio::async_write(*socket_, request, [self = shared_from_this()](ErrorCode error, std::size_t) {
    if (!error) self->request_written_ = true;
    // Write errors are ignored: a server may respond and close before it has read the whole
    // request. The read that is in progress detects the outcome.
  });
  ReadHead();
}

void UpstreamExchange::ReadHead() {
  parser_ = std::make_unique<Parser>();
  buffer_.max_size(kMaxBufferedHeadBytes);
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (request_.head_only) parser_->skip(true);
  beast::http::async_read_header(*socket_, buffer_, *parser_,
                                 [self = shared_from_this()](ErrorCode error, std::size_t) {
                                   if (!self->finished_) self->OnHead(error);
                                 });
}

void UpstreamExchange::OnHead(ErrorCode error) {
  if (!error) error = CheckResponseHead(parser_->get());
  if (error) return Finish(ExchangeEnd::kReset);
  const auto& message = parser_->get();
  if (IsInterimResponse(message)) return ReadHead();
  head_.status = static_cast<int>(message.result_int());
  head_.reason = std::string(message.reason());
  head_.fields = EndToEndFields(message);
  const std::string* id = FindField(head_.fields, field::kRequestId);
  // The response belongs to another request: a server may send a late second response.
  if (id != nullptr && *id != request_.request_id) return Finish(ExchangeEnd::kReset);
  head_.chunked = parser_->chunked();
  if (const auto length = parser_->content_length()) head_.length = *length;
  head_.bodiless = request_.head_only || head_.status == 204 || head_.status == 304;
  // Without a length or chunks, a complete response cannot be distinguished from a truncated one.
  if (!head_.chunked && !head_.length && !head_.bodiless) return Finish(ExchangeEnd::kReset);
  const auto self = shared_from_this();
  events_.on_head(head_);
  if (!finished_) ReadBody();
}

void UpstreamExchange::ReadBody() {
  if (finished_ || reading_) return;
  if (parser_->is_done()) return Finish(ExchangeEnd::kComplete);
  if (paused_) return;
  reading_ = true;
  // More than that may have come with the head.
  buffer_.max_size(std::max(kMaxBufferedBodyBytes, buffer_.size()));
  auto& body = parser_->get().body();
  body.data = chunk_.data();
  body.size = chunk_.size();
  body.more = true;
  beast::http::async_read_some(*socket_, buffer_, *parser_,
                               [self = shared_from_this()](ErrorCode error, std::size_t) {
                                 self->reading_ = false;
                                 if (!self->finished_) self->OnBody(error);
                               });
}

void UpstreamExchange::OnBody(ErrorCode error) {
  if (error == beast::http::error::need_buffer) error = {};
  const std::size_t size = chunk_.size() - parser_->get().body().size;
  const auto self = shared_from_this();
  if (size > 0) events_.on_data({chunk_.data(), size});
  if (finished_) return;
  if (error) return Finish(ExchangeEnd::kReset);
  ReadBody();
}

void UpstreamExchange::Resume() {
  if (!std::exchange(paused_, false) || finished_ || parser_ == nullptr || !parser_->is_header_done()) return;
  ReadBody();
}

void UpstreamExchange::Finish(ExchangeEnd end) {
  if (std::exchange(finished_, true)) return;
  const auto self = shared_from_this();
  connect_timer_.cancel();
  ErrorCode ignored;
  // A connection with further bytes after a complete response is not reused, as they belong to no request.
  const auto idle = end == ExchangeEnd::kComplete ? IdleTimeout(parser_->get()) : std::nullopt;
  if (idle && request_written_ && buffer_.size() == 0)
    pool_.PutIdle(request_.instance, socket_, *idle);
  else
    socket_->close(ignored);
  const Events events = std::move(events_);
  events_ = {};
  events.on_end(end);
}

}  // namespace violetwing
