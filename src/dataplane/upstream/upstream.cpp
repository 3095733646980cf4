#include "dataplane/upstream/upstream.hpp"

#include <netinet/tcp.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "common/http_client.hpp"

namespace violetwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A connection that has not come up by then is given up; nothing was sent on it.
constexpr milliseconds kConnectWithin{700};
// Bytes sent and not acknowledged for so long end the connection: a machine without power says nothing.
constexpr int kUnacknowledgedMs = 4000;
constexpr std::uint32_t kMostHead = 64 * 1024;
// Idle connections that are kept to one server.
constexpr std::size_t kMostIdle = 24;
// How long one is kept where the server does not say, and the share of what it says: it closes its side at
// the end of that time, and a request must not meet the close.
constexpr milliseconds kIdleUntold{1500};
constexpr double kIdleShare = 0.6;

void SetOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int limit = kUnacknowledgedMs;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

// How long the server keeps the connection, by its answer; empty if it closes it.
std::optional<milliseconds> IdleTime(const beast::http::response<beast::http::buffer_body>& message) {
  if (!message.keep_alive()) return std::nullopt;
  const auto it = message.find(beast::http::field::keep_alive);
  if (it == message.end()) return kIdleUntold;
  const std::string value(it->value());
  const std::size_t at = value.find("timeout=");
  const std::string digits = at == std::string::npos ? value : value.substr(at + 8);
  const double seconds = std::strtod(digits.c_str(), nullptr);
  return seconds <= 0 ? kIdleUntold : milliseconds(static_cast<long>(seconds * 1000 * kIdleShare));
}

}  // namespace

UpstreamExchange::UpstreamExchange(UpstreamPool& pool, Request request, Events events)
    : pool_(pool), request_(std::move(request)), events_(std::move(events)), connect_limit_(pool.io()) {}

void UpstreamExchange::Start(std::shared_ptr<Tcp::socket> reused) {
  if (reused == nullptr) return Connect();
  reused_ = true;
  socket_ = std::move(reused);
  Write();
}

void UpstreamExchange::Cancel() {
  if (std::exchange(over_, true)) return;
  connect_limit_.cancel();
  ErrorCode ignored;
  if (socket_ != nullptr) socket_->close(ignored);
  events_ = {};
}

void UpstreamExchange::Connect() {
  socket_ = std::make_shared<Tcp::socket>(pool_.io());
  const auto endpoint = ParseEndpoint(request_.address);
  if (!endpoint) return Finish(ExchangeEnd::kUnreachable);
  connect_limit_.expires_after(kConnectWithin);
  connect_limit_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (error || self->over_ || self->sent_) return;
    self->Finish(ExchangeEnd::kUnreachable);
  });
  socket_->async_connect(*endpoint, [self = shared_from_this()](ErrorCode error) {
    if (self->over_) return;
    if (error) return self->Finish(ExchangeEnd::kUnreachable);
    self->Write();
  });
}

void UpstreamExchange::Write() {
  connect_limit_.cancel();
  if (!reused_) SetOptions(*socket_);
  sent_ = true;
  asio::async_write(*socket_, asio::buffer(request_.text),
                    [self = shared_from_this()](ErrorCode error, std::size_t) {
                      if (!error) self->written_ = true;
                      // A server may answer and close before it has read all: the reader tells the end.
                    });
  ReadHead();
}

void UpstreamExchange::ReadHead() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMostHead);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (request_.head_only) parser_->skip(true);
  beast::http::async_read_header(*socket_, buffer_, *parser_,
                                 [self = shared_from_this()](ErrorCode error, std::size_t) {
                                   if (!self->over_) self->OnHead(error);
                                 });
}

void UpstreamExchange::OnHead(ErrorCode error) {
  if (error) return Finish(ExchangeEnd::kReset);
  const auto& message = parser_->get();
  head_.status = static_cast<int>(message.result_int());
  if (head_.status / 100 == 1) return ReadHead();  // the answer itself is to come
  head_.reason = std::string(message.reason());
  head_.fields = EndToEnd(message);
  const std::string* id = FindField(head_.fields, field::kRequestId);
  // A late second answer to another request stands where this one's should: it tells nothing of this one.
  if (id != nullptr && *id != request_.request_id) return Finish(ExchangeEnd::kReset);
  head_.chunked = parser_->chunked();
  if (const auto length = parser_->content_length()) head_.length = *length;
  head_.bodiless = request_.head_only || head_.status == 204 || head_.status == 304;
  // Without a length, an end could not be told from a break.
  if (!head_.chunked && !head_.length && !head_.bodiless) return Finish(ExchangeEnd::kReset);
  const auto self = shared_from_this();
  events_.on_head(head_);
  if (!over_) ReadBody();
}

void UpstreamExchange::ReadBody() {
  if (over_ || reading_) return;
  if (parser_->is_done()) return Finish(ExchangeEnd::kComplete);
  if (paused_) return;
  reading_ = true;
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  body.more = true;
  beast::http::async_read_some(*socket_, buffer_, *parser_,
                               [self = shared_from_this()](ErrorCode error, std::size_t) {
                                 self->reading_ = false;
                                 if (!self->over_) self->OnBody(error);
                               });
}

void UpstreamExchange::OnBody(ErrorCode error) {
  if (error == beast::http::error::need_buffer) error = {};
  const std::size_t size = piece_.size() - parser_->get().body().size;
  const auto self = shared_from_this();
  if (size > 0) events_.on_data({piece_.data(), size});
  if (over_) return;
  if (error) return Finish(ExchangeEnd::kReset);
  ReadBody();
}

void UpstreamExchange::Resume() {
  if (!std::exchange(paused_, false) || over_ || parser_ == nullptr || !parser_->is_header_done()) return;
  ReadBody();
}

void UpstreamExchange::Finish(ExchangeEnd end) {
  if (std::exchange(over_, true)) return;
  const auto self = shared_from_this();
  connect_limit_.cancel();
  ErrorCode ignored;
  // What stands behind a whole answer belongs to no request.
  const auto idle = end == ExchangeEnd::kComplete ? IdleTime(parser_->get()) : std::nullopt;
  if (idle && written_ && buffer_.size() == 0)
    pool_.Put(request_.instance, socket_, *idle);
  else
    socket_->close(ignored);
  const Events events = std::move(events_);
  events_ = {};
  events.on_end(end);
}

// ---- Pool ----

std::shared_ptr<UpstreamExchange> UpstreamPool::Start(UpstreamExchange::Request request,
                                                      UpstreamExchange::Events events) {
  std::shared_ptr<Tcp::socket> reused = Take(request.instance);
  std::shared_ptr<UpstreamExchange> exchange(
      new UpstreamExchange(*this, std::move(request), std::move(events)));
  // Not from within this call: its caller does not hold the exchange yet.
  asio::post(io_, [exchange, reused] {
    if (!exchange->over_) return exchange->Start(reused);
    boost::system::error_code ignored;
    if (reused != nullptr) reused->close(ignored);
  });
  return exchange;
}

std::shared_ptr<asio::ip::tcp::socket> UpstreamPool::Take(const std::string& instance) {
  const auto it = idle_.find(instance);
  if (it == idle_.end()) return nullptr;
  boost::system::error_code error;
  while (!it->second.empty()) {
    const Idle idle = std::move(it->second.back());
    it->second.pop_back();
    char byte = 0;
    const ssize_t waiting = recv(idle.socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool quiet = waiting < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (quiet && steady_clock::now() < idle.until) {
      idle.socket->cancel(error);  // its watch
      if (it->second.empty()) idle_.erase(it);
      return idle.socket;
    }
    idle.socket->close(error);
  }
  idle_.erase(it);
  return nullptr;
}

void UpstreamPool::Put(const std::string& instance, std::shared_ptr<Tcp::socket> socket, milliseconds idle) {
  std::deque<Idle>& kept = idle_[instance];
  boost::system::error_code ignored;
  if (kept.size() >= kMostIdle) {
    kept.front().socket->close(ignored);
    kept.pop_front();
  }
  Watch(instance, socket);
  kept.push_back({std::move(socket), steady_clock::now() + idle});
}

// Whatever happens on an idle connection ends it.
void UpstreamPool::Watch(const std::string& instance, const std::shared_ptr<Tcp::socket>& socket) {
  socket->async_wait(Tcp::socket::wait_read,
                     [this, instance, socket](const boost::system::error_code& error) {
                       if (error) return;
                       const auto it = idle_.find(instance);
                       if (it == idle_.end()) return;
                       boost::system::error_code ignored;
                       std::erase_if(it->second, [&](const Idle& idle) {
                         if (idle.socket != socket) return false;
                         idle.socket->close(ignored);
                         return true;
                       });
                       if (it->second.empty()) idle_.erase(it);
                     });
}

void UpstreamPool::Keep(const std::function<bool(const std::string&)>& alive) {
  boost::system::error_code ignored;
  const auto now = steady_clock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    const bool stays = alive(it->first);
    std::erase_if(it->second, [&](const Idle& idle) {
      if (stays && now < idle.until) return false;
      idle.socket->close(ignored);
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void UpstreamPool::CloseAll() {
  Keep([](const std::string&) { return false; });
}

}  // namespace violetwing
