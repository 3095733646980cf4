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

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// How long a connection that is closed with an answer still reads: closing it with input unread would reset
// it, and the answer might be lost with that.
constexpr auto kLinger = std::chrono::seconds(1);
// How often a client of which nothing is read is looked at: nothing may be sent on for one that has gone by
// more than 0.1 s.
constexpr auto kLookOut = std::chrono::milliseconds(50);
// How long a peer may take to send a request, from its connection or from the first byte of a later one:
// anyone may connect, and those who say nothing, or only half, must not keep a client's place. Clients take
// up to 2 s beside what a body needs at 64 kB/s, and the others are owed an end within 3 s.
constexpr auto kMostReading = std::chrono::milliseconds(2500);
// For a first request of which bytes came in the very moment in which that time was over.
constexpr auto kLateFirst = std::chrono::milliseconds(400);
constexpr std::size_t kLeastRate = 32;  // bytes of a body in a millisecond: half of what clients keep to

using Clock = std::chrono::steady_clock;

struct Incoming {
  // Not eager: an eager parser forgets that the head announced too long a body when bytes of it came along.
  Incoming() {
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
  }

  http::request_parser<IncrementalBody> parser;
  bool begun = false;
  Clock::time_point since = Clock::now();  // its time counts from then
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
        look_out_(owner.io_),
        writer_(socket_) {}

  void Start() {
    ErrorCode ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    NextRequest();
    ExpireAfter(kMostReading);
    Read();
  }

  // Between requests, as far as has been looked at.
  bool Idle() const {
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->begun && !retiring_;
  }
  bool retiring() const { return retiring_; }

  // Closes an idle connection, unless a request is on its way in. The read that is out may have taken its
  // bytes already while its handler has yet to run, so nothing but its end can tell: it is called off, and
  // what it comes back with decides.
  void Retire() {
    retiring_ = true;
    ErrorCode ignored;
    socket_.cancel(ignored);
  }

  void Respond(ResponseHead head, BodyPtr body, std::function<void(bool)> done) {
    if (state_ != State::kBusy) return;
    state_ = State::kWriting;
    StopClock();
    done_ = std::move(done);
    answer_ = std::move(body);
    answer_->DisableReplay();
    if (answer_->ended()) answer_->length = answer_->length.value_or(answer_->size());
    keep_alive_ = keep_alive_ && !owner_.draining_ && (body_ == nullptr || body_->ended());
    // Without a length only chunks show an HTTP/1.1 client where the body ends, and the close an older one.
    const bool chunked = !answer_->length && version_ >= 11;
    if (!answer_->length && !chunked) keep_alive_ = false;
    head.version(version_);
    head.keep_alive(keep_alive_);
    if (answer_->length) head.content_length(*answer_->length);
    if (chunked) head.chunked(true);
    std::string text = SerializeHead(head);
    BodyPtr written = answer_;
    if (head_only_) {
      answer_->Abandon();
      written = Body::FromString("");
    }
    writer_.Start(shared_from_this(), std::move(text), std::move(written), chunked && !head_only_,
                  [self = shared_from_this()](ErrorCode error) { self->OnWritten(error); });
  }

  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    StopClock();
    look_out_.cancel();
    owner_.Remove(*this);
    Tell(/*whole=*/false);
    if (answer_ != nullptr) std::exchange(answer_, nullptr)->Abandon();
  }

  // Closes without a word to the owner, which is going: what is still to be called back finds it closed.
  void Abandon() {
    state_ = State::kClosed;
    writer_.Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator place;

 private:
  struct ReadAt {
    std::uint64_t upto;  // bytes of the connection
    Clock::time_point at;
  };
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void NextRequest() {
    state_ = State::kReading;
    parser_.emplace();
    body_ = nullptr;
    if (buffer_.size() == 0) buffer_.shrink_to_fit();  // it may be long before the next
    paused_ = std::nullopt;
    StopClock();  // an idle client may stay
  }

  // Moves the deadline out of reach. A cancel would leave it in the past where the wait for it has ended with
  // its handler still to run, and that handler would end what has just come in time.
  void StopClock() { deadline_.expires_at(Clock::time_point::max()); }

  void ExpireAfter(Clock::duration time) { ExpireAt(Clock::now() + time); }

  void ExpireAt(Clock::time_point time) {
    deadline_.expires_at(time);
    deadline_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      // A wait may have ended in the very turn of the loop in which the deadline was moved.
      if (!stopped && self->deadline_.expiry() <= Clock::now()) self->OnExpired();
    });
  }

  void OnExpired() {
    if (state_ == State::kClosed) return;
    if (Idle()) return Retire();
    if (state_ == State::kReading && parser_->begun)
      return Reject(http::status::request_timeout, "request not whole in time\n");
    Leave();
  }

  // The client has left, or is as good as gone.
  void Leave() {
    const auto self = shared_from_this();
    const bool busy = state_ == State::kBusy;
    Close();
    if (busy) owner_.events_.on_client_disconnected(self);
    if (body_ != nullptr) body_->Fail();
  }

  // Whether more of the request's body is to come.
  bool BodyComes() const { return body_ != nullptr && !body_->ended() && !body_->failed(); }

  // Stays posted while a request is held, so that a client that leaves is noticed. Stops only when a client
  // that does not wait for its answers has filled the buffer, or when a long body waits for room.
  void Read() {
    if (reading_ || state_ == State::kClosed) return;
    if (buffer_.size() + kReadSize > buffer_.max_size()) return LookOut();
    if (state_ != State::kLingering && BodyComes() && !body_->HasCapacity()) {
      Pause();
      return LookOut();
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              self->reading_ = false;
                              self->OnRead(error, n);
                            });
  }

  // Looks now and then whether the client has closed while nothing is read: its close is behind what it sent.
  void LookOut() {
    if (std::exchange(looking_out_, true)) return;
    look_out_.expires_after(kLookOut);
    look_out_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      self->looking_out_ = false;
      if (stopped || self->reading_ || self->state_ == State::kClosed) return;
      if (self->PeerHasClosed()) return self->Leave();
      self->LookOut();
    });
  }

  bool PeerHasClosed() {
    pollfd one{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  // The peer is not to blame while its body waits for room.
  void Pause() {
    if (paused_ || (state_ != State::kReading && state_ != State::kBusy)) return;
    paused_ = Clock::now();
    StopClock();
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (state_ == State::kClosed) return;
    const bool retired = std::exchange(retiring_, false);
    if (retired && !StaysAfter(error)) return Close();
    if (error && error != asio::error::operation_aborted) return Leave();
    if (!error) Take(n);
    Read();
    // Its place is not to be had: another's may be. Not before what came is taken: it would look idle, be
    // asked for its place again while nothing of it is read, and bar all others from being asked.
    if (retired) owner_.Accept();
  }

  void Take(std::size_t n) {
    if (state_ != State::kLingering)
      buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(input_, n)));
    read_ += n;
    if (state_ == State::kReading || state_ == State::kBusy) Parse();
    NoteWaiting();
  }

  // Keeps when bytes came that wait for the requests before them. Those that came within a millisecond count
  // as one, the first of them: the bookkeeping must not outgrow what it is about.
  void NoteWaiting() {
    if (buffer_.size() == 0) return waiting_.clear();
    const auto now = Clock::now();
    if (!waiting_.empty() && now - waiting_.back().at < std::chrono::milliseconds(1)) {
      waiting_.back().upto = read_;
    } else {
      waiting_.push_back({read_, now});
    }
  }

  // Since when the last byte taken has been here.
  Clock::duration Waited() {
    const std::uint64_t taken = read_ - buffer_.size();
    while (!waiting_.empty() && waiting_.front().upto < taken) waiting_.pop_front();
    return waiting_.empty() ? Clock::duration::zero() : Clock::now() - waiting_.front().at;
  }

  // Whether a connection that was to be closed stays, as a request came before its read could be called off.
  bool StaysAfter(ErrorCode read) {
    ErrorCode error;
    if (read && (read != asio::error::operation_aborted || socket_.available(error) == 0)) return false;
    if (deadline_.expiry() <= Clock::now()) ExpireAfter(kLateFirst);
    return true;
  }

  // Reads on in a request whose body has room again.
  void OnRoom() {
    if ((state_ != State::kReading && state_ != State::kBusy) || !BodyComes()) return;
    if (paused_) parser_->since += Clock::now() - *std::exchange(paused_, std::nullopt);
    ExpectMore();
    Parse();
    Read();
  }

  bool BufferIsFull() const { return buffer_.size() + kReadSize > buffer_.max_size(); }
  // A line that fills the buffer without an end.
  ErrorCode LineTooLong() const {
    return parser_->parser.is_header_done() ? http::error::bad_chunk : http::error::header_limit;
  }

  void Parse() {
    const auto kept = shared_from_this();
    while (buffer_.size() > 0 && !parser_->parser.is_done()) {
      if (BodyComes() && !body_->HasCapacity()) return;
      ErrorCode error;
      if (!std::exchange(parser_->begun, true) && heard_) {
        parser_->since = Clock::now();
        ExpireAfter(kMostReading);
      }
      const std::size_t used = parser_->parser.put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more && !BufferIsFull()) return;
      if (error == http::error::need_more) error = LineTooLong();
      if (error) return Reject(error);
      if (parser_->parser.is_header_done() && body_ == nullptr && !TakeHead()) return;
      if (body_ != nullptr) TakePiece();
      if (state_ != State::kReading && state_ != State::kBusy) return;
    }
  }

  // False if the request ends here.
  bool TakeHead() {
    auto& request = parser_->parser.get();
    heard_ = true;
    version_ = request.version() >= 11 ? 11 : 10;
    head_only_ = request.method() == http::verb::head;
    keep_alive_ = request.keep_alive();
    // Another coding than chunks, whose end this library does not look for.
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
    // Later: who takes it may be in the middle of what it does with this session.
    body_->on_capacity = [weak] {
      if (const auto self = weak.lock()) asio::post(self->owner_.io_, [self] { self->OnRoom(); });
    };
    if (parser_->parser.is_done()) return true;
    const auto expect = request[http::field::expect];
    if (expect.empty() || version_ < 11) return true;
    if (!beast::iequals(expect, "100-continue")) {
      Reject(http::status::expectation_failed, "unknown expectation\n");
      return false;
    }
    if (buffer_.size() > 0) return true;  // it does not wait
    // All before it has been written and read, so it goes out at once.
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode error;
    if (socket_.write_some(asio::buffer(kContinue), error) == kContinue.size()) return true;
    Close();
    return false;
  }

  // What has come of the body moves the deadline, though not far past the last of it.
  void ExpectMore() {
    const std::chrono::milliseconds earned(body_->size() / kLeastRate);
    ExpireAt(std::min(parser_->since + kMostReading + earned, Clock::now() + kMostReading));
  }

  void TakePiece() {
    std::string& piece = parser_->parser.get().body();
    const bool done = parser_->parser.is_done();
    body_->Append(std::exchange(piece, {}));
    if (done) {
      StopClock();
      body_->End();
    } else {
      ExpectMore();
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
    if (state_ == State::kBusy) return Leave();  // its request is under way
    state_ = State::kBusy;
    keep_alive_ = false;
    Inbound::Respond(shared_from_this(), TextResponse(status, text));
  }

  void Dispatch() {
    RequestHead head = HeadOf(parser_->parser.get());
    if (head.target() == kReadyPath) {
      state_ = State::kBusy;
      const bool ready = !owner_.draining_ && owner_.events_.ready();
      return Inbound::Respond(shared_from_this(),
                              TextResponse(ready ? http::status::ok : http::status::service_unavailable,
                                           ready ? "ready\n" : "not yet\n"));
    }
    // Its close may lie behind what was read: of one that waited in the listener's queue, or while this
    // process stood still, both came at the same time.
    if (PeerHasClosed()) return Leave();
    state_ = State::kBusy;
    const auto waited = body_->ended() ? Waited() : Clock::duration::zero();
    owner_.events_.on_request(shared_from_this(), std::move(head), body_,
                              std::chrono::duration_cast<std::chrono::microseconds>(waited).count());
  }

  void Tell(bool whole) {
    if (done_) std::exchange(done_, nullptr)(whole);
  }

  void OnWritten(ErrorCode error) {
    if (state_ == State::kClosed) return;
    if (error) {
      // A close would say that a body of unknown length is whole.
      ErrorCode ignored;
      if (version_ < 11) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      return Close();
    }
    answer_ = nullptr;
    Tell(/*whole=*/true);
    if (!keep_alive_) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
    NextRequest();
    Parse();
    Read();
    if (Idle()) owner_.OnIdle();
  }

  void LingerAndClose() {
    state_ = State::kLingering;
    if (body_ != nullptr) body_->Fail();  // the rest of it is not passed on
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_.consume(buffer_.size());
    ExpireAfter(kLinger);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  asio::steady_timer deadline_;          // of what the state waits for from the peer
  asio::steady_timer look_out_;          // for its close, while nothing is read
  std::array<char, kReadSize> input_{};  // of its own: the buffer may move what it holds while a read is out
  beast::flat_buffer buffer_{2 * kMaxUnparsedBytes};
  std::uint64_t read_ = 0;      // bytes so far
  std::deque<ReadAt> waiting_;  // when those came that are in the buffer behind other requests
  std::optional<Incoming> parser_;
  BodyPtr body_;                             // of the request, once its head has come
  std::optional<Clock::time_point> paused_;  // since when it waits for room
  BodyPtr answer_;                           // while it is written
  MessageWriter writer_;
  std::function<void(bool)> done_;  // told when the answer has gone out, or cannot
  State state_ = State::kReading;
  unsigned version_ = 11;
  bool head_only_ = false;  // the request was HEAD
  bool reading_ = false;
  bool looking_out_ = false;
  bool retiring_ = false;  // it is closed unless a request has come
  bool keep_alive_ = true;
  bool heard_ = false;  // its first head has come whole
};

Inbound::Inbound(asio::io_context& io, Tcp::acceptor listener, std::size_t most_sessions,
                 std::shared_ptr<BufferBudget> budget, Events events)
    : io_(io),
      most_sessions_(most_sessions),
      budget_(std::move(budget)),
      events_(std::move(events)),
      acceptor_(std::move(listener)),
      address_(acceptor_.local_endpoint()),
      pause_(io) {}

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
  if (sessions_.size() >= most_sessions_) return RetireIdle();  // the next that ends or is idle goes on
  accepting_ = true;
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    accepting_ = false;
    OnAccepted(error, std::move(socket));
  });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Also if the listener has closed since: the client may have sent its request already.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  AcceptLater();
}

// No descriptor is left for those that wait: an idle connection makes room for the next. Descriptors that
// come free elsewhere are not told of, so accepting is tried again after a pause as well.
void Inbound::AcceptLater() {
  short_of_descriptors_ = true;
  ResumeAfter(kAcceptPause);
  RetireIdle();
}

// Accepts again after a time, in place of any time set before.
void Inbound::ResumeAfter(Clock::duration time) {
  pause_.expires_after(time);
  pause_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    short_of_descriptors_ = false;
    stopping_ ? StopAccepting() : Accept();
  });
}

void Inbound::Add(Tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  session->Start();
}

// One at a time: whether it goes shows in a moment, and that makes room or asks for another.
void Inbound::RetireIdle() {
  if (std::any_of(sessions_.begin(), sessions_.end(),
                  [](const auto& session) { return session->retiring(); }))
    return;
  const auto idle =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return session->Idle(); });
  if (idle != sessions_.end()) (*idle)->Retire();
}

void Inbound::Remove(const Session& session) {
  const bool was_full = sessions_.size() >= most_sessions_;
  sessions_.erase(session.place);
  if (short_of_descriptors_) return ResumeAfter(Clock::duration::zero());  // its descriptor is free
  if (was_full) Accept();
}

// Where all places or descriptors were at work, the next client gets this one's.
void Inbound::OnIdle() {
  if (short_of_descriptors_) return RetireIdle();
  if (sessions_.size() >= most_sessions_) Accept();
}

void Inbound::CloseAfterResponses() { draining_ = true; }

void Inbound::StopAccepting() {
  // What has connected may have sent its request: closing the listener on it would reset it unanswered.
  stopping_ = true;
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (acceptor_.is_open() && (!error || error == asio::error::connection_aborted)) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  if (!acceptor_.is_open() || error == asio::error::would_block) return CloseListener();
  AcceptLater();
}

// Never shut down: that would end the listener for all that hold it.
void Inbound::CloseListener() {
  pause_.cancel();
  short_of_descriptors_ = false;
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void Inbound::CloseIdle() {
  for (const SessionPtr& session : sessions_)
    if (session->Idle()) session->Retire();
}

}  // namespace violetwing::sidecar
