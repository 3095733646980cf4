#include "dataplane/ingress/client_connection.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "dataplane/ingress/ingress.hpp"

namespace violetwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Maximum time for the complete request body to arrive.
constexpr milliseconds kBodyTimeout{20'000};
// Maximum time for the client to accept one write.
constexpr milliseconds kWriteTimeout{20'000};
// Maximum time for the client to close its side after the last response.
constexpr milliseconds kLingerTimeout{1000};
// Size of the pieces in which input is discarded.
constexpr std::size_t kDiscardBytes = 16'384;

milliseconds ToMilliseconds(double ms) { return milliseconds(static_cast<long>(ms)); }

}  // namespace

ClientConnection::ClientConnection(Ingress& ingress, Tcp::socket socket)
    : ingress_(ingress), socket_(std::move(socket)), timeout_timer_(socket_.get_executor()) {}

void ClientConnection::Start() {
  ErrorCode ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  AwaitRequest();
}

void ClientConnection::ArmTimeout(milliseconds timeout) {
  timeout_timer_.expires_after(timeout);
  timeout_timer_.async_wait([self = shared_from_this(), phase = phase_](ErrorCode error) {
    if (error || self->closed_ || self->phase_ != phase) return;
    if (phase == Phase::kHead) return self->RejectAndClose(http::error::end_of_stream);
    self->Close();
  });
}

void ClientConnection::AwaitRequest() {
  if (closed_) return;
  phase_ = Phase::kIdle;
  if (buffer_.size() > 0) return ReadHead();
  ArmTimeout(ToMilliseconds(ingress_.limits_.idle_timeout_ms));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
    if (self->closed_) return;
    if (error) return self->Close();
    self->ReadHead();
  });
}

void ClientConnection::ReadHead() {
  phase_ = Phase::kHead;
  ++ingress_.busy_;
  ArmTimeout(ToMilliseconds(ingress_.limits_.header_timeout_ms));
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(static_cast<std::uint32_t>(ingress_.limits_.max_header_bytes));
  parser_->body_limit(static_cast<std::uint64_t>(ingress_.limits_.max_body_bytes));
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                            if (self->closed_ || self->phase_ != Phase::kHead) return;  // answered with 408
                            if (error) return self->RejectAndClose(error);
                            self->ReadBody();
                          });
}

void ClientConnection::ReadBody() {
  phase_ = Phase::kBody;
  fields_ = EndToEndFields(parser_->get());
  ArmTimeout(kBodyTimeout);
  if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    pending_output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    Write();
  }
  if (parser_->is_done()) return OnRequest();
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
    if (self->closed_) return;
    if (error) return self->RejectAndClose(error);
    self->OnRequest();
  });
}

void ClientConnection::RejectAndClose(ErrorCode error) {
  const bool closed_before_request =
      error == http::error::end_of_stream && phase_ == Phase::kHead && buffer_.size() == 0;
  const bool broken = error == asio::error::connection_reset || error == asio::error::eof ||
                      error == http::error::partial_message || error == asio::error::operation_aborted;
  if (closed_before_request || broken) return Close();
  phase_ = Phase::kResponding;
  head_sent_ = finished_ = false;
  keep_alive_ = false;
  if (error == http::error::header_limit) return Answer(431, "Request Header Fields Too Large", {}, "");
  if (error == http::error::body_limit) return Answer(413, "Content Too Large", {}, "");
  if (error == http::error::end_of_stream) return Answer(408, "Request Timeout", {}, "");
  Answer(400, "Bad Request", {}, "");
}

void ClientConnection::OnRequest() {
  timeout_timer_.cancel();
  phase_ = Phase::kResponding;
  head_sent_ = finished_ = chunked_ = false;
  auto& message = parser_->get();
  keep_alive_ = message.keep_alive();
  http10_client_ = message.version() < 11;
  ClientRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  request.fields = std::exchange(fields_, {});
  request.has_length = message.has_content_length() || message.chunked();
  request.body = std::move(message.body());
  request.arrived = steady_clock::now();
  parser_.reset();
  ++request_number_;
  WatchForDisconnect();
  ingress_.handler_(shared_from_this(), std::move(request));
}

// Detects a client that disconnects before its response is complete. Stops watching once the client has
// pipelined further data, as an end of the stream cannot be peeked behind it.
void ClientConnection::WatchForDisconnect() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(),
                                              number = request_number_](ErrorCode error) {
    if (self->closed_ || self->phase_ != Phase::kResponding || number != self->request_number_) return;
    char byte = 0;
    const ssize_t size = error ? 0 : recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) return;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return self->WatchForDisconnect();
    self->Close();
  });
}

void ClientConnection::SendHead(int status, const std::string& reason, const FieldList& fields,
                                std::optional<std::uint64_t> length, bool bodiless) {
  if (closed_ || std::exchange(head_sent_, true)) return;
  if (ingress_.closing_) keep_alive_ = false;
  chunked_ = !length && !bodiless && !http10_client_;
  if (!length && !bodiless && http10_client_) keep_alive_ = false;
  pending_output_ += "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const Field& field : fields) AppendField(pending_output_, field.name, field.value);
  if (length) AppendField(pending_output_, "Content-Length", std::to_string(*length));
  if (chunked_) AppendField(pending_output_, "Transfer-Encoding", "chunked");
  if (!keep_alive_) AppendField(pending_output_, "Connection", "close");
  pending_output_ += "\r\n";
  Write();
}

void ClientConnection::SendData(std::string_view data) {
  if (closed_ || data.empty()) return;
  if (chunked_) {
    char size[24];
    const int written = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    pending_output_.append(size, static_cast<std::size_t>(written)).append(data).append("\r\n");
  } else {
    pending_output_.append(data);
  }
  Write();
}

void ClientConnection::Finish() {
  if (closed_ || std::exchange(finished_, true)) return;
  if (chunked_) pending_output_ += "0\r\n\r\n";
  on_disconnect = nullptr;
  on_drained = nullptr;
  Write();
}

void ClientConnection::Answer(int status, const std::string& reason, const FieldList& fields,
                              const std::string& body) {
  SendHead(status, reason, fields, body.size(), false);
  SendData(body);
  Finish();
}

void ClientConnection::Abort() {
  on_disconnect = nullptr;
  Close();
}

void ClientConnection::Write() {
  if (closed_ || !output_in_flight_.empty()) return;
  if (pending_output_.empty()) {
    if (!finished_ || phase_ != Phase::kResponding) return;
    timeout_timer_.cancel();
    // A response that began before the shutdown carries no "Connection: close", but its connection is closed
    // too. A request that arrives at this moment is not read.
    if (!keep_alive_ || ingress_.closing_) return CloseGracefully();
    --ingress_.busy_;
    phase_ = Phase::kIdle;
    return AwaitRequest();
  }
  output_in_flight_.swap(pending_output_);
  if (phase_ == Phase::kResponding) ArmTimeout(kWriteTimeout);
  asio::async_write(socket_, asio::buffer(output_in_flight_),
                    [self = shared_from_this()](ErrorCode error, std::size_t) {
                      if (!self->closed_) self->OnWritten(error);
                    });
}

void ClientConnection::OnWritten(ErrorCode error) {
  output_in_flight_.clear();
  if (error) return Close();
  if (phase_ == Phase::kResponding) timeout_timer_.cancel();
  if (pending_output_.empty() && !finished_ && on_drained) on_drained();
  Write();
}

void ClientConnection::CloseGracefully() {
  --ingress_.busy_;
  ++ingress_.lingering_;
  phase_ = Phase::kLingering;
  ErrorCode ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  ArmTimeout(kLingerTimeout);
  DiscardInput();
}

void ClientConnection::DiscardInput() {
  discarded_.resize(kDiscardBytes);
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                            if (self->closed_) return;
                            if (error) return self->Close();
                            self->DiscardInput();
                          });
}

void ClientConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle) Close();
}

void ClientConnection::Close() {
  if (std::exchange(closed_, true)) return;
  const auto notify_disconnect = std::exchange(on_disconnect, nullptr);
  on_drained = nullptr;
  if (phase_ == Phase::kLingering)
    --ingress_.lingering_;
  else if (phase_ != Phase::kIdle)
    --ingress_.busy_;
  timeout_timer_.cancel();
  ErrorCode ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
  // Deferred, as the caller may hold no other reference to this object.
  asio::post(ingress_.io_, [self = shared_from_this()] { self->ingress_.connections_.erase(self); });
  if (notify_disconnect) notify_disconnect();
}

}  // namespace violetwing
