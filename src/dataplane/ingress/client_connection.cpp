#include "dataplane/ingress/client_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdio>
#include <iterator>
#include <utility>

#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"
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
// Sizes of the pieces in which a head and a body are read.
constexpr std::size_t kHeadReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 32'768;
// No more of a response is taken from its server while more bytes than this are unsent to the client.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// What one attempt at a server holds: its buffers, and what the server has sent and is not read.
constexpr std::size_t kAttemptBytes = std::size_t{48} * 1024 + kMaxUnreadBytes;
// Buffers of idle connections that have grown beyond this are freed.
constexpr std::size_t kMaxIdleBufferBytes = 4096;
constexpr const char* kRetryAfterOverloadS = "1";

milliseconds ToMilliseconds(double ms) { return milliseconds(static_cast<long>(ms)); }

template <class Fields>
std::size_t CountFields(const Fields& fields) {
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

}  // namespace

ClientConnection::ClientConnection(Ingress& ingress, Tcp::socket socket)
    : ingress_(ingress),
      socket_(std::move(socket)),
      timeout_timer_(socket_.get_executor()),
      claim_(
          ingress.budget_, [this](Eviction eviction) { GiveWay(eviction); }, SteadyMicros()) {}

void ClientConnection::Start() {
  ErrorCode ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  if (!Hold(0)) return Close();
  AwaitRequest();
}

void ClientConnection::ArmTimeout(milliseconds timeout) {
  timeout_timer_.expires_after(timeout);
  timeout_timer_.async_wait([self = shared_from_this(), phase = phase_](ErrorCode error) {
    if (error || self->closed_ || self->phase_ != phase) return;
    if (phase == Phase::kHead) return self->Reject(http::error::end_of_stream);
    self->Close();
  });
}

// ---- What the connection holds ----

bool ClientConnection::Hold(std::size_t bytes) {
  return claim_.Resize(kIdleConnectionBytes + bytes, SteadyMicros());
}

void ClientConnection::HoldOutput() {
  output_held_ = Hold(request_bytes_ + pending_output_.size() + output_in_flight_.size());
}

bool ClientConnection::output_full() const {
  const std::size_t unsent = pending_output_.size() + output_in_flight_.size();
  return unsent > kMaxUnsentBytes || (unsent > 0 && !output_held_);
}

void ClientConnection::ReleaseBuffers() {
  for (std::string* output : {&pending_output_, &output_in_flight_})
    if (output->capacity() > kMaxIdleBufferBytes) std::string().swap(*output);
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  request_bytes_ = 0;
  // Always succeeds, as it reduces the claim.
  static_cast<void>(Hold(buffer_.size()));
}

void ClientConnection::GiveWay(Eviction eviction) {
  const bool reading = phase_ == Phase::kHead || phase_ == Phase::kBody;
  if (eviction == Eviction::kMemory && reading) return RejectOverloaded();
  Close();
}

// ---- Reading a request ----

void ClientConnection::AwaitRequest() {
  if (closed_) return;
  phase_ = Phase::kIdle;
  claim_.Enter(ConnectionPhase::kIdle, SteadyMicros());
  ReleaseBuffers();
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
  claim_.Enter(ConnectionPhase::kReading, SteadyMicros());
  ArmTimeout(ToMilliseconds(ingress_.limits_.header_timeout_ms));
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(static_cast<std::uint32_t>(ingress_.limits_.max_header_bytes));
  parser_->body_limit(std::min(static_cast<std::size_t>(ingress_.limits_.max_body_bytes),
                               ingress_.budget_.max_claim_bytes()));
  head_bytes_ = static_cast<std::size_t>(ingress_.limits_.max_header_bytes) + kBodyReadBytes;
  if (!Hold(head_bytes_)) return RejectOverloaded();
  if (buffer_.size() > 0) return Parse();
  ReadMore();
}

void ClientConnection::ReadMore() {
  const std::size_t size = phase_ == Phase::kHead ? kHeadReadBytes : kBodyReadBytes;
  socket_.async_read_some(buffer_.prepare(size), [self = shared_from_this()](ErrorCode error, std::size_t n) {
    self->OnInput(error, n);
  });
}

void ClientConnection::OnInput(ErrorCode error, std::size_t size) {
  const bool reading = phase_ == Phase::kHead || phase_ == Phase::kBody;
  if (closed_ || !reading) return;  // rejected meanwhile
  if (error) return Reject(error);
  buffer_.commit(size);
  Parse();
}

void ClientConnection::Parse() {
  ErrorCode error;
  while (!error && !parser_->is_done() && buffer_.size() > 0) {
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (!error && phase_ == Phase::kHead && parser_->is_header_done()) {
      OnHeadComplete();
      if (phase_ != Phase::kBody) return;
    }
  }
  if (error && error != http::error::need_more) return Reject(error);
  if (parser_->is_done()) return OnRequest();
  // What the parser leaves is the beginning of a head, of a chunk's header, or of a trailer.
  if (buffer_.size() > static_cast<std::size_t>(ingress_.limits_.max_header_bytes))
    return Reject(http::error::header_limit);
  if (phase_ == Phase::kBody && !Hold(head_bytes_ + parser_->get().body().size())) return RejectOverloaded();
  ReadMore();
}

void ClientConnection::OnHeadComplete() {
  phase_ = Phase::kBody;
  const auto& message = parser_->get();
  fields_ = EndToEndFields(message);
  head_bytes_ += CountFields(message) * kFieldOverheadBytes;
  if (!Hold(head_bytes_)) return RejectOverloaded();
  ArmTimeout(kBodyTimeout);
  if (beast::iequals(message[http::field::expect], "100-continue")) {
    pending_output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    Write();
  }
}

void ClientConnection::Reject(ErrorCode error) {
  const bool closed_before_request = error == http::error::end_of_stream && phase_ == Phase::kHead &&
                                     !parser_->got_some() && buffer_.size() == 0;
  const bool broken = error == asio::error::connection_reset || error == asio::error::eof ||
                      error == http::error::partial_message || error == asio::error::operation_aborted;
  if (closed_before_request || broken) return Close();
  if (error == http::error::header_limit) return RejectWith(431, "Request Header Fields Too Large", {});
  if (error == http::error::body_limit) return RejectWith(413, "Content Too Large", {});
  if (error == http::error::end_of_stream) return RejectWith(408, "Request Timeout", {});
  RejectWith(400, "Bad Request", {});
}

void ClientConnection::RejectOverloaded() {
  RejectWith(503, "Service Unavailable", {{"Retry-After", kRetryAfterOverloadS}});
}

void ClientConnection::RejectWith(int status, const std::string& reason, const FieldList& fields) {
  phase_ = Phase::kResponding;
  claim_.Enter(ConnectionPhase::kServing, SteadyMicros());
  parser_.reset();
  fields_.clear();
  // A read may still be under way, so that the buffer stays.
  request_bytes_ = buffer_.capacity();
  static_cast<void>(Hold(std::min(request_bytes_, claim_.bytes())));
  head_sent_ = finished_ = false;
  keep_alive_ = false;
  Answer(status, reason, fields, "");
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
  request_bytes_ = head_bytes_ + request.body.size() + kMaxUnreadBytes + kAttemptBytes;
  if (!Hold(request_bytes_)) return RejectOverloaded();
  output_held_ = true;
  claim_.Enter(ConnectionPhase::kServing, SteadyMicros());
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
  HoldOutput();
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
  if (phase_ == Phase::kResponding) {
    ArmTimeout(kWriteTimeout);
    claim_.Enter(ConnectionPhase::kWriting, SteadyMicros());
  }
  asio::async_write(socket_, asio::buffer(output_in_flight_),
                    [self = shared_from_this()](ErrorCode error, std::size_t) {
                      if (!self->closed_) self->OnWritten(error);
                    });
}

void ClientConnection::OnWritten(ErrorCode error) {
  output_in_flight_.clear();
  if (error) return Close();
  if (phase_ == Phase::kResponding) {
    timeout_timer_.cancel();
    claim_.Enter(ConnectionPhase::kServing, SteadyMicros());
    HoldOutput();
  }
  if (pending_output_.empty() && !finished_ && on_drained) on_drained();
  Write();
}

void ClientConnection::CloseGracefully() {
  --ingress_.busy_;
  ++ingress_.lingering_;
  phase_ = Phase::kLingering;
  claim_.Enter(ConnectionPhase::kClosing, SteadyMicros());
  request_bytes_ = kDiscardBytes + buffer_.capacity();
  static_cast<void>(Hold(std::min(request_bytes_, claim_.bytes())));
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
  claim_.Release();
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
