#include "sidecar/inbound.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace violetwing::sidecar {
namespace {

// Delay before accepting again when file descriptors have run out, so that the loop does not spin on
// EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// How long a connection that the sidecar closes after a response keeps reading. Closing a socket with unread
// input resets it, and the client may lose the response.
constexpr auto kLinger = std::chrono::seconds(1);
// Interval at which the sidecar checks a client for disconnection while it reads nothing from it. Nothing may
// be forwarded for a client that disconnected more than 0.1 s ago.
constexpr auto kDisconnectPollInterval = std::chrono::milliseconds(50);
// Time a client has to send a request, counted from its connection or, for a later request, from its first
// byte. Anyone may connect, so a client that sends nothing, or only part of a request, must not occupy a
// connection. Clients take up to 2 s plus the time of the body at 64 kB/s; all others must be dropped within
// 3 s.
constexpr auto kRequestTimeout = std::chrono::milliseconds(2500);
// Added for a first request whose first bytes arrive just as kRequestTimeout expires.
constexpr auto kLateFirstRequestGrace = std::chrono::milliseconds(400);
constexpr std::size_t kMinBodyBytesPerMs = 32;  // half of the rate that clients keep (64 kB/s)

using Clock = std::chrono::steady_clock;

struct Incoming {
  // Not eager: with an eager parser the error of a Content-Length above the limit is lost if bytes of the
  // body arrive with the head.
  Incoming() {
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
  }

  http::request_parser<IncrementalBody> parser;
  bool receiving = false;
  Clock::time_point start_time = Clock::now();  // of kRequestTimeout
};

RequestHead HeadOf(http::request<IncrementalBody>& request) {
  RequestHead head;
  head.base() = std::move(request.base());
  return head;
}

}  // namespace

class Inbound::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Inbound& owner, Tcp::socket socket)
      : owner_(owner),
        socket_(std::move(socket)),
        deadline_(owner.io_),
        disconnect_timer_(owner.io_),
        writer_(socket_) {}

  void Start() {
    ErrorCode ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    NextRequest();
    SetDeadlineAfter(kRequestTimeout);
    Read();
  }

  // Whether no request is in progress, as far as the input has been processed.
  bool IsIdle() const {
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->receiving && !closing_if_idle_;
  }
  bool closing_if_idle() const { return closing_if_idle_; }

  // Closes an idle connection, unless a request is arriving. The pending read may have its bytes already,
  // with its handler still queued, so only its completion can tell: it is cancelled, and its result decides.
  void CloseIfIdle() {
    closing_if_idle_ = true;
    ErrorCode ignored;
    socket_.cancel(ignored);
  }

  void Respond(ResponseHead head, BodyPtr body, std::function<void(bool)> done) {
    if (state_ != State::kProcessing) return;
    state_ = State::kWriting;
    ClearDeadline();
    done_ = std::move(done);
    response_body_ = std::move(body);
    response_body_->DisableReplay();
    if (response_body_->ended())
      response_body_->length = response_body_->length.value_or(response_body_->size());
    keep_alive_ = keep_alive_ && !owner_.draining_ && (body_ == nullptr || body_->ended());
    // Without a length, an HTTP/1.1 client needs chunks to find the end of the body, and an HTTP/1.0 client
    // the close of the connection.
    const bool chunked = !response_body_->length && version_ >= 11;
    if (!response_body_->length && !chunked) keep_alive_ = false;
    head.version(version_);
    head.keep_alive(keep_alive_);
    if (response_body_->length) head.content_length(*response_body_->length);
    if (chunked) head.chunked(true);
    std::string text = SerializeHead(head);
    BodyPtr written = response_body_;
    if (head_only_) {
      response_body_->Abandon();
      written = Body::FromString("");
    }
    writer_.Start(shared_from_this(), std::move(text), std::move(written), chunked && !head_only_,
                  [self = shared_from_this()](ErrorCode error) { self->OnWritten(error); });
  }

  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    ClearDeadline();
    disconnect_timer_.cancel();
    owner_.Remove(*this);
    NotifyDone(/*complete=*/false);
    if (response_body_ != nullptr) std::exchange(response_body_, nullptr)->Abandon();
  }

  // Closes without notifying the owner, which is being destroyed. Handlers that are still queued find the
  // session closed.
  void Abandon() {
    state_ = State::kClosed;
    writer_.Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator list_position;

 private:
  struct Arrival {
    std::uint64_t end_offset;  // in bytes, from the start of the connection
    Clock::time_point at;
  };
  enum class State { kReading, kProcessing, kWriting, kLingering, kClosed };

  void NextRequest() {
    state_ = State::kReading;
    parser_.emplace();
    body_ = nullptr;
    if (buffer_.size() == 0) buffer_.shrink_to_fit();  // the next request may be long in coming
    paused_at_ = std::nullopt;
    ClearDeadline();  // an idle connection has no deadline
  }

  // Moves the deadline to the end of time. Cancelling the timer would not stop a wait that has completed with
  // its handler still queued: the deadline would remain in the past, and the handler would end a request that
  // arrived in time.
  void ClearDeadline() { deadline_.expires_at(Clock::time_point::max()); }

  void SetDeadlineAfter(Clock::duration time) { SetDeadline(Clock::now() + time); }

  void SetDeadline(Clock::time_point time) {
    deadline_.expires_at(time);
    deadline_.async_wait([self = shared_from_this()](ErrorCode timer_error) {
      // The wait may have completed in the same turn of the event loop in which the deadline was moved.
      if (!timer_error && self->deadline_.expiry() <= Clock::now()) self->OnDeadline();
    });
  }

  void OnDeadline() {
    if (state_ == State::kClosed) return;
    if (IsIdle()) return CloseIfIdle();
    if (state_ == State::kReading && parser_->receiving)
      return Reject(http::status::request_timeout, "request not whole in time\n");
    DropClient();
  }

  // Closes the connection of a client that has disconnected, or that is treated as such.
  void DropClient() {
    const auto self = shared_from_this();
    const bool busy = state_ == State::kProcessing;
    Close();
    if (busy) owner_.events_.on_client_disconnected(self);
    if (body_ != nullptr) body_->Fail();
  }

  // Whether more of the request's body is expected.
  bool BodyIncomplete() const { return body_ != nullptr && !body_->ended() && !body_->failed(); }

  // Keeps a read pending while a request is processed, to notice that the client disconnects. Stops only when
  // a client that pipelines requests has filled the buffer, or when a long body has no capacity.
  void Read() {
    if (reading_ || state_ == State::kClosed) return;
    if (buffer_.size() + kReadSize > buffer_.max_size()) return PollForDisconnect();
    if (state_ != State::kLingering && BodyIncomplete() && !body_->HasCapacity()) {
      PauseDeadline();
      return PollForDisconnect();
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              self->reading_ = false;
                              self->OnRead(error, n);
                            });
  }

  // Polls for the client's disconnection while nothing is read: in the stream, its FIN follows unread data.
  void PollForDisconnect() {
    if (std::exchange(polling_for_disconnect_, true)) return;
    disconnect_timer_.expires_after(kDisconnectPollInterval);
    disconnect_timer_.async_wait([self = shared_from_this()](ErrorCode timer_error) {
      self->polling_for_disconnect_ = false;
      if (timer_error || self->reading_ || self->state_ == State::kClosed) return;
      if (self->PeerHasClosed()) return self->DropClient();
      self->PollForDisconnect();
    });
  }

  bool PeerHasClosed() {
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  // Stops the deadline while the request's body has no capacity, as that delay is not the client's.
  void PauseDeadline() {
    if (paused_at_ || (state_ != State::kReading && state_ != State::kProcessing)) return;
    paused_at_ = Clock::now();
    ClearDeadline();
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (state_ == State::kClosed) return;
    const bool was_closing = std::exchange(closing_if_idle_, false);
    if (was_closing && !HasNewRequest(error)) return Close();
    if (error && error != asio::error::operation_aborted) return DropClient();
    if (!error) HandleInput(n);
    Read();
    // This connection stays open, so another idle one may be closed instead. Only after its input has been
    // handled: before that it would look idle and be chosen again, with no read pending, which would keep all
    // others from being chosen.
    if (was_closing) owner_.Accept();
  }

  void HandleInput(std::size_t n) {
    if (state_ != State::kLingering)
      buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(input_, n)));
    bytes_read_ += n;
    if (state_ == State::kReading || state_ == State::kProcessing) Parse();
    RecordArrival();
  }

  // Records when pipelined bytes arrive. Those that arrive within a millisecond are recorded together, with
  // the time of the first, so that the records take less memory than the data.
  void RecordArrival() {
    if (buffer_.size() == 0) return pipelined_.clear();
    const auto now = Clock::now();
    if (!pipelined_.empty() && now - pipelined_.back().at < std::chrono::milliseconds(1)) {
      pipelined_.back().end_offset = bytes_read_;
    } else {
      pipelined_.push_back({bytes_read_, now});
    }
  }

  // How long the last byte consumed has been in the buffer.
  Clock::duration WaitTime() {
    const std::uint64_t consumed = bytes_read_ - buffer_.size();
    while (!pipelined_.empty() && pipelined_.front().end_offset < consumed) pipelined_.pop_front();
    return pipelined_.empty() ? Clock::duration::zero() : Clock::now() - pipelined_.front().at;
  }

  // Whether a connection that was to be closed stays open, as a request arrived before its read was
  // cancelled.
  bool HasNewRequest(ErrorCode read) {
    ErrorCode error;
    if (read && (read != asio::error::operation_aborted || socket_.available(error) == 0)) return false;
    if (deadline_.expiry() <= Clock::now()) SetDeadlineAfter(kLateFirstRequestGrace);
    return true;
  }

  // Resumes reading a request whose body has capacity again.
  void OnBodyCapacity() {
    if ((state_ != State::kReading && state_ != State::kProcessing) || !BodyIncomplete()) return;
    if (paused_at_) parser_->start_time += Clock::now() - *std::exchange(paused_at_, std::nullopt);
    ExtendDeadline();
    Parse();
    Read();
  }

  bool BufferIsFull() const { return buffer_.size() + kReadSize > buffer_.max_size(); }
  // The error for a line that fills the buffer without ending.
  ErrorCode LineTooLongError() const {
    return parser_->parser.is_header_done() ? http::error::bad_chunk : http::error::header_limit;
  }

  void Parse() {
    const auto kept = shared_from_this();
    while (buffer_.size() > 0 && !parser_->parser.is_done()) {
      if (BodyIncomplete() && !body_->HasCapacity()) return;
      ErrorCode error;
      if (!std::exchange(parser_->receiving, true) && first_head_received_) {
        parser_->start_time = Clock::now();
        SetDeadlineAfter(kRequestTimeout);
      }
      const std::size_t used = parser_->parser.put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more && !BufferIsFull()) return;
      if (error == http::error::need_more) error = LineTooLongError();
      if (error) return Reject(error);
      if (parser_->parser.is_header_done() && body_ == nullptr && !HandleHead()) return;
      if (body_ != nullptr) HandleBodyData();
      if (state_ != State::kReading && state_ != State::kProcessing) return;
    }
  }

  // Returns false if the request is rejected or the connection closed.
  bool HandleHead() {
    auto& request = parser_->parser.get();
    first_head_received_ = true;
    version_ = request.version() >= 11 ? 11 : 10;
    head_only_ = request.method() == http::verb::head;
    keep_alive_ = request.keep_alive();
    // A transfer coding other than chunked: Beast does not find the end of such a body.
    if (request.count(http::field::transfer_encoding) > 0 && !parser_->parser.chunked()) {
      Reject(http::status::bad_request, "malformed request\n");
      return false;
    }
    body_ = std::make_shared<Body>(owner_.budget_);
    if (!parser_->parser.chunked()) {
      const auto length = parser_->parser.content_length();
      body_->length = length ? *length : 0;
    }
    const std::weak_ptr<Session> weak = shared_from_this();
    // Posted, as the consumer of the body may be inside a call on this session.
    body_->on_capacity = [weak] {
      if (const auto self = weak.lock()) asio::post(self->owner_.io_, [self] { self->OnBodyCapacity(); });
    };
    if (parser_->parser.is_done()) return true;
    const auto expect = request[http::field::expect];
    if (expect.empty() || version_ < 11) return true;
    if (!beast::iequals(expect, "100-continue")) {
      Reject(http::status::expectation_failed, "unknown expectation\n");
      return false;
    }
    if (buffer_.size() > 0) return true;  // the client sends the body without waiting
    // All earlier responses have been written and read, so the socket's send buffer has space for this one.
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode error;
    if (socket_.write_some(asio::buffer(kContinue), error) == kContinue.size()) return true;
    Close();
    return false;
  }

  // Extends the deadline by the body received so far, but to no later than kRequestTimeout from now.
  void ExtendDeadline() {
    const std::chrono::milliseconds extension(body_->size() / kMinBodyBytesPerMs);
    SetDeadline(std::min(parser_->start_time + kRequestTimeout + extension, Clock::now() + kRequestTimeout));
  }

  void HandleBodyData() {
    std::string& data = parser_->parser.get().body();
    const bool done = parser_->parser.is_done();
    body_->Append(std::exchange(data, {}));
    if (done) {
      ClearDeadline();
      body_->End();
    } else {
      ExtendDeadline();
    }
    if (state_ == State::kReading && (done || !body_->HasCapacity())) Dispatch();
  }

  void Reject(ErrorCode error) {
    if (error == http::error::body_limit) return Reject(http::status::payload_too_large, "too large\n");
    if (error == http::error::header_limit)
      return Reject(http::status::request_header_fields_too_large, "header too large\n");
    Reject(http::status::bad_request, "malformed request\n");
  }

  void Reject(http::status status, const char* text) {
    if (state_ == State::kProcessing) return DropClient();  // the request has been forwarded
    state_ = State::kProcessing;
    keep_alive_ = false;
    Inbound::Respond(shared_from_this(), TextResponse(status, text));
  }

  void Dispatch() {
    RequestHead head = HeadOf(parser_->parser.get());
    if (head.target() == kReadyPath) {
      state_ = State::kProcessing;
      const bool ready = !owner_.draining_ && owner_.events_.ready();
      return Inbound::Respond(shared_from_this(),
                              TextResponse(ready ? http::status::ok : http::status::service_unavailable,
                                           ready ? "ready\n" : "not yet\n"));
    }
    // The client's FIN may already be behind the request that was read: both arrive together if the
    // connection waited in the listen queue, or while this process was stopped.
    if (PeerHasClosed()) return DropClient();
    state_ = State::kProcessing;
    const auto waited = body_->ended() ? WaitTime() : Clock::duration::zero();
    owner_.events_.on_request(shared_from_this(), std::move(head), body_,
                              std::chrono::duration_cast<std::chrono::microseconds>(waited).count());
  }

  void NotifyDone(bool complete) {
    if (done_) std::exchange(done_, nullptr)(complete);
  }

  void OnWritten(ErrorCode error) {
    if (state_ == State::kClosed) return;
    if (error) {
      // A normal close would tell an HTTP/1.0 client that a body of unknown length is complete.
      ErrorCode ignored;
      if (version_ < 11) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      return Close();
    }
    response_body_ = nullptr;
    NotifyDone(/*complete=*/true);
    if (!keep_alive_) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, list_position);
    NextRequest();
    Parse();
    Read();
    if (IsIdle()) owner_.OnSessionIdle();
  }

  void LingerAndClose() {
    state_ = State::kLingering;
    if (body_ != nullptr) body_->Fail();  // the rest of the request is not forwarded
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_.consume(buffer_.size());
    SetDeadlineAfter(kLinger);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  asio::steady_timer deadline_;          // for what the state expects from the client
  asio::steady_timer disconnect_timer_;  // while nothing is read
  std::array<char, kReadSize> input_{};  // separate, as buffer_ may move its data during a read
  beast::flat_buffer buffer_{2 * kMaxUnparsedBytes};
  std::uint64_t bytes_read_ = 0;   // from the socket, in total
  std::deque<Arrival> pipelined_;  // arrival times of buffered bytes behind the current request
  std::optional<Incoming> parser_;
  BodyPtr body_;                                // of the request, once its head is complete
  std::optional<Clock::time_point> paused_at_;  // since when the body has no capacity
  BodyPtr response_body_;                       // while the response is written
  MessageWriter writer_;
  std::function<void(bool)> done_;  // called once the response is written or has failed
  State state_ = State::kReading;
  unsigned version_ = 11;
  bool head_only_ = false;  // the request was HEAD
  bool reading_ = false;
  bool polling_for_disconnect_ = false;
  bool closing_if_idle_ = false;  // its read is being cancelled; closes unless a request has arrived
  bool keep_alive_ = true;
  bool first_head_received_ = false;
};

Inbound::Inbound(asio::io_context& io, Tcp::acceptor listener, std::size_t max_sessions,
                 std::shared_ptr<BufferBudget> budget, Events events)
    : io_(io),
      max_sessions_(max_sessions),
      budget_(std::move(budget)),
      events_(std::move(events)),
      acceptor_(std::move(listener)),
      address_(acceptor_.local_endpoint()),
      accept_timer_(io) {}

Inbound::~Inbound() {
  for (const SessionPtr& session : sessions_) session->Abandon();
}

void Inbound::Respond(const SessionPtr& session, ResponseHead head, BodyPtr body,
                      std::function<void(bool)> done) {
  session->Respond(std::move(head), std::move(body), std::move(done));
}

void Inbound::Respond(const SessionPtr& session, HttpResponse response) {
  ResponseHead head;
  head.base() = std::move(response.base());
  Respond(session, std::move(head), Body::FromString(std::move(response.body())), {});
}

void Inbound::Accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  if (sessions_.size() >= max_sessions_) return CloseOneIdle();  // accepting resumes when one ends or is idle
  accepting_ = true;
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    accepting_ = false;
    OnAccepted(error, std::move(socket));
  });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // The client may have sent its request already, so the connection is accepted even if the listener has
    // been closed since.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  OnOutOfDescriptors();
}

// No descriptor is left for the queued connections: closing an idle one frees one. The sidecar is not
// notified when other code frees descriptors, so accepting is also retried after a pause.
void Inbound::OnOutOfDescriptors() {
  out_of_descriptors_ = true;
  ResumeAcceptingAfter(kAcceptPause);
  CloseOneIdle();
}

// Accepts again after `time`, which replaces any time set before.
void Inbound::ResumeAcceptingAfter(Clock::duration time) {
  accept_timer_.expires_after(time);
  accept_timer_.async_wait([this](ErrorCode timer_error) {
    if (timer_error) return;
    out_of_descriptors_ = false;
    stopping_ ? StopAccepting() : Accept();
  });
}

void Inbound::Add(Tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->list_position = sessions_.insert(sessions_.end(), session);
  session->Start();
}

// Closes one at a time: the result of its read soon shows whether it closes, which frees capacity or selects
// another one.
void Inbound::CloseOneIdle() {
  if (std::any_of(sessions_.begin(), sessions_.end(),
                  [](const auto& session) { return session->closing_if_idle(); }))
    return;
  const auto idle =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return session->IsIdle(); });
  if (idle != sessions_.end()) (*idle)->CloseIfIdle();
}

void Inbound::Remove(const Session& session) {
  const bool was_full = sessions_.size() >= max_sessions_;
  sessions_.erase(session.list_position);
  if (out_of_descriptors_)
    return ResumeAcceptingAfter(Clock::duration::zero());  // its descriptor is available now
  if (was_full) Accept();
}

// If the connection limit is reached or descriptors have run out, the next client gets this session's place.
void Inbound::OnSessionIdle() {
  if (out_of_descriptors_) return CloseOneIdle();
  if (sessions_.size() >= max_sessions_) Accept();
}

void Inbound::CloseAfterResponses() { draining_ = true; }

void Inbound::StopAccepting() {
  // A queued connection may have sent its request: closing the listener now would reset it without a
  // response.
  stopping_ = true;
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (acceptor_.is_open() && (!error || error == asio::error::connection_aborted)) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  if (!acceptor_.is_open() || error == asio::error::would_block) return CloseListener();
  OnOutOfDescriptors();
}

// Closes without a shutdown, which would stop the listener for every process that shares it.
void Inbound::CloseListener() {
  accept_timer_.cancel();
  out_of_descriptors_ = false;
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void Inbound::CloseIdle() {
  for (const SessionPtr& session : sessions_)
    if (session->IsIdle()) session->CloseIfIdle();
}

}  // namespace violetwing::sidecar
