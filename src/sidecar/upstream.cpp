#include "sidecar/upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "common/http_response.hpp"

namespace violetwing::sidecar {
namespace {

using Clock = std::chrono::steady_clock;

// Sweeps per idle timeout; few, as each one wakes up the process.
constexpr int kSweepsPerIdleTimeout = 4;

// How long a response of unknown length is buffered before it is streamed.
constexpr auto kMaxBufferingTime = std::chrono::milliseconds(150);
// Maximum pause of a server within a response that is being streamed.
constexpr auto kMaxResponsePause = std::chrono::seconds(6);

using Response = http::response<IncrementalBody>;

bool Declined(const Response& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A 503 without Srv-Declined is an error, not a rejection: the request may have been executed.
Result ResultOf(const Response& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRejected : Result::kError;
}

}  // namespace

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::uint64_t epoch = 0;          // incremented when existing connections become unusable
  std::vector<ConnectionPtr> idle;  // ordered by last use, the most recent last

  bool IsHealthy() const { return info.state == ServerInfo::State::kHealthy; }
};

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    AttemptId id;
    RequestHead head;
    BodyPtr body;
    Events events;
    std::optional<Clock::time_point> write_deadline;
    std::optional<Clock::time_point> deadline;  // set if the time spent on connecting counts
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool),
        server_(std::move(server)),
        epoch_(server_->epoch),
        socket_(pool.io_),
        timer_(pool.io_),
        writer_(socket_) {}

  void Dial(Job job) {
    job_.emplace(std::move(job));
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return PostNoDescriptor();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.dial_timeout > 0) {
      // The timer may expire in the same loop iteration in which the connection attempt ends.
      StartTimer(std::chrono::microseconds(pool_.limits_.dial_timeout), [this] {
        if (dialing_) Finish(Result::kUnreachable, /*reuse=*/false);
      });
    }
    dialing_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnDialed(failed); });
  }

  void Start(Job job) {
    job_.emplace(std::move(job));
    // A read may have completed already with its handler still queued. That handler runs before the one
    // posted here, so that it finds the flag set.
    read_predates_request_ = true;
    asio::post(pool_.io_, [self = shared_from_this()] { self->read_predates_request_ = false; });
    Write();
  }

  // Does not call `done`: for idle connections and canceled attempts.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.OnClosed(*this);
  }

  // Closes without notifying the pool, which is being destroyed. Handlers that are still queued find the
  // connection closed.
  void Abandon() {
    closed_ = true;
    job_.reset();
    writer_.Stop();
    BreakResponseBody();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Detects a close by the peer that has arrived but has not been handled. A request written to such a
  // connection is reset, and whether it was executed cannot be known.
  bool IsUsable() {
    if (closed_ || !IsCurrent()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // True while nothing of the attempt has been written, so that it cannot have been executed.
  bool IsDialing() const { return dialing_; }
  bool IsCurrent() const { return server_->IsHealthy() && server_->epoch == epoch_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

 private:
  // No file descriptor is available. This is a local shortage and no sign of a faulty server.
  void PostNoDescriptor() {
    asio::post(pool_.io_, [self = shared_from_this()] {
      if (!self->closed_) self->Finish(Result::kNoDescriptor, /*reuse=*/false);
    });
  }

  template <typename Duration, typename Handler>
  void StartTimer(Duration time, Handler on_expiry) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this(), on_expiry, attempt = job_->id](ErrorCode stopped) {
      // The timer may have expired in the same loop iteration in which its attempt ended and the next one
      // started on this connection.
      const bool same = !self->closed_ && self->job_ && self->job_->id == attempt;
      if (!stopped && same && self->timer_.expiry() <= Clock::now()) on_expiry();
    });
  }

  void OnDialed(ErrorCode error) {
    if (pool_.hooks_.before_server_check) pool_.hooks_.before_server_check();
    if (closed_) return;
    dialing_ = false;
    timer_.cancel();
    // The server is checked again: while the connection was being established it may have started to drain,
    // been removed, or restarted and be cold. Nothing has been written, so the request was not executed.
    if (error || !IsCurrent()) return Finish(Result::kUnreachable, /*reuse=*/false);
    if (job_->write_deadline && Clock::now() >= *job_->write_deadline)
      return Finish(Result::kNeverSent, /*reuse=*/false);
    if (job_->deadline) UpdateDeadlineHeader();
    Read();
    Write();
  }

  // Connecting has used up a part of the time that was left when the attempt was sent.
  void UpdateDeadlineHeader() {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(*job_->deadline - Clock::now());
    job_->head.set(kDeadlineHeader, FormatSeconds(std::max<Micros>(left.count(), 0)));
  }

  void Write() {
    ResetParser();
    head_request_ = job_->head.method() == http::verb::head;
    parser_->skip(head_request_);
    writing_ = true;
    fully_written_ = false;
    RequestHead& head = job_->head;
    Body& body = *job_->body;
    if (body.ended()) body.length = body.size();
    const bool chunked = !body.length;
    if (chunked) head.chunked(true);
    // GET and HEAD requests without a body carry no Content-Length, as is usual.
    const bool may_have_body = head.method() != http::verb::get && head.method() != http::verb::head;
    if (body.length && (*body.length > 0 || may_have_body)) head.content_length(*body.length);
    writer_.Start(shared_from_this(), SerializeHead(head), job_->body, chunked,
                  [self = shared_from_this()](ErrorCode error) { self->OnWritten(error); });
  }

  void OnWritten(ErrorCode error) {
    writing_ = false;
    if (closed_ || !job_) return;
    fully_written_ = !error;
    // A server does not execute an incomplete request. If the client stopped sending the body, the server is
    // not at fault.
    if (error)
      return Finish(job_->body->failed() ? Result::kCancelled : Result::kUnreachable, /*reuse=*/false);
    if (pool_.hooks_.request_written) pool_.hooks_.request_written();
    if (closed_by_peer_) Finish(Result::kReset, /*reuse=*/false);
  }

  // A read is pending as long as the connection is open, so that a close by the peer is noticed at once.
  // Reading pauses only while the response body has no room.
  void Read() {
    if (reading_ || closed_) return;
    if (response_body_ != nullptr && !response_body_->HasCapacity()) {
      if (streaming_) timer_.cancel();  // the reader is slow, not the server
      return;
    }
    if (streaming_) StartPauseTimer();
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadSize),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              self->reading_ = false;
                              self->OnRead(error, n);
                            });
  }

  void StartPauseTimer() {
    StartTimer(kMaxResponsePause, [this] { Finish(Result::kTimeout, /*reuse=*/false); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_) return;
    if (error) return OnReadError(error);
    buffer_.commit(n);
    if (!job_) return Close();  // data without a request
    // Data received before the request was written is not its response, and data that follows could be
    // mistaken for one.
    if (read_predates_request_) return Finish(Result::kReset, /*reuse=*/false);
    Advance();
  }

  // Parses the received data as far as the response body has room.
  void Advance() {
    const auto self = shared_from_this();
    if (!Parse()) return Finish(Result::kError, /*reuse=*/false);
    if (closed_ || !job_) return;
    if (parser_->is_done()) return Complete(/*peer_open=*/true);
    Read();
  }

  // Returns false if the data is not an HTTP response, a limit is exceeded, or the body of an unsuccessful
  // response is too long.
  bool Parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      if (response_body_ != nullptr && !response_body_->HasCapacity()) return true;
      ErrorCode error;
      const bool had_head = parser_->is_header_done();
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      // A line that fills the buffer is an error, as it can never be completed.
      if (error == http::error::need_more) return buffer_.size() + kReadSize <= buffer_.max_size();
      if (error) return false;
      if (!parser_->is_header_done()) continue;
      if (!had_head && CheckResponseHead(parser_->get())) return false;
      if (IsInterimResponse(parser_->get())) {
        ExpectFinalResponse();
        continue;
      }
      if (!had_head) OnResponseHead();
      if (!OnBodyPiece()) return false;
      if (closed_ || !job_) return true;
    }
    return true;
  }

  void ExpectFinalResponse() {
    if (!parser_->is_done()) return;
    ResetParser();
    parser_->skip(head_request_);
  }

  // The parser is not eager: an eager one forgets that Content-Length exceeds the limit if bytes of the body
  // arrived together with the header, and then accepts as much as the server sends.
  void ResetParser() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    streaming_ = false;
    response_body_ = nullptr;
    discarded_bytes_ = 0;
  }

  void OnResponseHead() {
    if (ResultOf(parser_->get()) != Result::kSuccess) return;
    response_body_ = std::make_shared<Body>(pool_.budget_);
    const auto length = parser_->content_length();
    if (length) response_body_->length = *length;
    const std::weak_ptr<Connection> weak = shared_from_this();
    // Both are posted: the reader of the body may be called from within this connection, which must not be
    // reentered.
    response_body_->on_capacity = [weak] {
      if (const auto self = weak.lock()) asio::post(self->pool_.io_, [self] { self->OnRoom(); });
    };
    response_body_->on_abandoned = [weak] {
      if (const auto self = weak.lock()) asio::post(self->pool_.io_, [self] { self->OnAbandoned(); });
    };
    if (parser_->is_done()) return;
    if (response_body_->length && *response_body_->length > kMaxBufferedBodyBytes) return StartStreaming();
    if (!response_body_->length) StartTimer(kMaxBufferingTime, [this] { StartStreaming(); });
  }

  // Returns false if the discarded body of an unsuccessful response is too long to be read to its end.
  bool OnBodyPiece() {
    std::string& piece = parser_->get().body();
    if (response_body_ == nullptr) {
      discarded_bytes_ += piece.size();
      piece.clear();
      return discarded_bytes_ <= kMaxBufferedBodyBytes;
    }
    response_body_->Append(std::exchange(piece, {}));
    if (!streaming_ && !parser_->is_done() && !response_body_->HasCapacity()) StartStreaming();
    return true;
  }

  void StartStreaming() {
    if (std::exchange(streaming_, true)) return;
    StartPauseTimer();
    job_->events.response_started(ForwardedHead(), response_body_);
  }

  ResponseHead ForwardedHead() const {
    ResponseHead head;
    head.result(parser_->get().result());
    if (const auto type = parser_->get()[http::field::content_type]; !type.empty())
      head.set(http::field::content_type, type);
    return head;
  }

  void OnRoom() {
    if (closed_ || !job_ || !streaming_ || parser_->is_done()) return;
    StartPauseTimer();
    Advance();
  }

  void OnAbandoned() {
    if (!closed_ && job_ && streaming_) Finish(Result::kCancelled, /*reuse=*/false);
  }

  void BreakResponseBody() {
    if (response_body_ != nullptr) std::exchange(response_body_, nullptr)->Fail();
  }

  // The peer closed or reset the connection. Only a close completes a body without length or chunks (RFC
  // 9112, 6.3 and 8): a reset discards data that was sent but not read yet.
  void OnReadError(ErrorCode read_error) {
    if (!job_) return Close();
    if (read_error == asio::error::eof && parser_->is_header_done() && !parser_->is_done()) {
      ErrorCode error;
      parser_->put_eof(error);  // fails if the body is truncated
      if (!error && parser_->is_done()) return Complete(/*peer_open=*/false);
    }
    if (!writing_) return Finish(Result::kReset, /*reuse=*/false);
    // Whether the last byte was written is known once the write ends; closing the socket ends it.
    closed_by_peer_ = true;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Complete(bool peer_open) {
    const bool reuse = peer_open && fully_written_ && parser_->get().keep_alive() && buffer_.size() == 0;
    if (response_body_ != nullptr) response_body_->End();
    Finish(ResultOf(parser_->get()), reuse);
  }

  void Finish(Result result, bool reuse) {
    const auto self = shared_from_this();
    const Job job = std::move(*job_);
    job_.reset();
    timer_.cancel();
    pool_.attempts_.erase(job.id);
    UpstreamResponse response{result, {}, nullptr};
    if (result == Result::kSuccess) {
      response.head = ForwardedHead();
      if (!streaming_) response.body = response_body_;
      response_body_ = nullptr;  // complete: its writer continues without this connection
    }
    streaming_ = false;
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    job.events.done(std::move(response));
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t epoch_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // for connecting, then for the response
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::response_parser<IncrementalBody>> parser_;
  std::optional<Job> job_;
  MessageWriter writer_;
  BodyPtr response_body_;            // of a successful response, from its head to its end
  std::size_t discarded_bytes_ = 0;  // of the body of an unsuccessful response
  bool streaming_ = false;           // the response is being streamed
  bool head_request_ = false;        // the request method is HEAD
  bool reading_ = false;
  bool dialing_ = false;
  bool writing_ = false;
  bool read_predates_request_ = false;  // a read that completes now started before the request
  bool fully_written_ = false;          // the last byte of the request has been written
  bool closed_by_peer_ = false;         // the peer closed or reset the connection during the write
  bool closed_ = false;
};

Upstream::Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget, Hooks hooks)
    : io_(io), limits_(limits), budget_(std::move(budget)), hooks_(std::move(hooks)), sweep_(io) {}

Upstream::~Upstream() {
  for (const auto& [id, connection] : attempts_)
    if (connection != nullptr) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // server and connections hold references to each other
  }
}

void Upstream::Update(Server& server, const Endpoint& endpoint) {
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kRemoved) server.address = endpoint.address;
  if (same && server.IsHealthy()) return;
  if (!same) ++server.epoch;
  CloseIdle(server);
}

void Upstream::CloseIdle(Server& server) {
  for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->Close();
}

void Upstream::Retire(const std::string& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  ++found->second->epoch;
  CloseIdle(*found->second);
}

void Upstream::Apply(const EndpointList& list) {
  std::unordered_map<std::string, std::shared_ptr<Server>> before;
  if (list.complete) before.swap(servers_);
  for (const Endpoint& endpoint : list.endpoints) {
    std::shared_ptr<Server>& server = servers_[endpoint.info.id];
    const auto old = before.find(endpoint.info.id);
    if (old != before.end()) server = old->second;
    if (server == nullptr) server = std::make_shared<Server>();
    Update(*server, endpoint);
    before.erase(endpoint.info.id);
    if (endpoint.info.state == ServerInfo::State::kRemoved) servers_.erase(endpoint.info.id);
  }
  for (auto& [id, server] : before) {  // missing from a full list: removed
    Endpoint gone{server->info, server->address};
    gone.info.state = ServerInfo::State::kRemoved;
    Update(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, OutgoingRequest request, Events events) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->IsHealthy())
    return PostFailure(std::move(events), Result::kUnreachable);
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = AcquireIdle(*server);
  const AttemptId attempt = ++last_attempt_;
  const bool deadline_running = request.time_left > 0 && request.body->ended();
  if (request.time_left > 0) request.head.set(kDeadlineHeader, FormatSeconds(request.time_left));
  Connection::Job job{
      attempt,     std::move(request.head), std::move(request.body), std::move(events), std::nullopt,
      std::nullopt};
  if (connection != nullptr) {
    attempts_[attempt] = connection;
    connection->Start(std::move(job));
    return attempt;
  }
  const auto now = Clock::now();
  if (request.begin_within > 0) job.write_deadline = now + std::chrono::microseconds(request.begin_within);
  if (deadline_running) job.deadline = now + std::chrono::microseconds(request.time_left);
  if (open_connections_ >= limits_.max_connections && !CloseOldestIdle())
    return PostFailure(std::move(job.events), Result::kNoDescriptor);
  connection = std::make_shared<Connection>(*this, server);
  ++open_connections_;
  attempts_[attempt] = connection;
  connection->Dial(std::move(job));
  return attempt;
}

// The result is posted: the decision module must not be called back from within its own Send action.
Upstream::AttemptId Upstream::PostFailure(Events events, Result result) {
  const AttemptId attempt = ++last_attempt_;
  attempts_[attempt] = nullptr;
  asio::post(io_, [this, attempt, result, done = std::move(events.done)] {
    if (attempts_.erase(attempt) > 0) done({result, {}, nullptr});
  });
  return attempt;
}

void Upstream::Cancel(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const ConnectionPtr connection = it->second;
  attempts_.erase(it);
  if (connection != nullptr) connection->Close();
}

bool Upstream::CancelIfUnsent(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second == nullptr || !it->second->IsDialing()) return false;
  Cancel(attempt);
  return true;
}

Upstream::ConnectionPtr Upstream::AcquireIdle(Server& server) {
  while (!server.idle.empty()) {
    ConnectionPtr connection = server.idle.back();
    server.idle.pop_back();
    if (connection->IsUsable()) return connection;
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has been idle longest. Returns false if all are in use.
bool Upstream::CloseOldestIdle() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr connection = oldest->idle.front();
  connection->Close();
  return true;
}

void Upstream::Release(const ConnectionPtr& connection) {
  if (!connection->IsCurrent()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  ScheduleSweep();
}

void Upstream::OnClosed(const Connection& connection) {
  --open_connections_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::ScheduleSweep() {
  if (limits_.idle_timeout <= 0 || std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.idle_timeout / kSweepsPerIdleTimeout));
  sweep_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    Sweep();
  });
}

void Upstream::Sweep() {
  const auto now = Clock::now();
  bool any = false;
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPtr> idle = server->idle;  // a copy, as Close removes from the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.idle_timeout))
        connection->Close();
    any = any || !server->idle.empty();
  }
  if (any) ScheduleSweep();
}

}  // namespace violetwing::sidecar
