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

namespace violetwing::sidecar {
namespace {

using Clock = std::chrono::steady_clock;

// Sweeps in the time that an idle connection is kept: few, as each wakes the process.
constexpr int kSweeps = 4;

// How long an answer whose length is not told is held back before it is passed on as it comes.
constexpr auto kMostHolding = std::chrono::milliseconds(150);
// How long a server may pause in an answer that has begun.
constexpr auto kMostSilence = std::chrono::seconds(6);

using Response = http::response<IncrementalBody>;

bool Declined(const Response& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A server's 503 without the header proves nothing: it may have run.
Result ResultOf(const Response& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRejected : Result::kError;
}

}  // namespace

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::uint64_t life = 0;           // changes with all that makes older connections useless
  std::vector<ConnectionPtr> idle;  // the most recently used last

  bool Up() const { return info.state == ServerInfo::State::kHealthy; }
};

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    AttemptId id;
    RequestHead head;
    BodyPtr body;
    Events events;
    std::optional<Clock::time_point> begin_by;
    std::optional<Clock::time_point> expires;  // its time runs already, and its server is told what is left
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool),
        server_(std::move(server)),
        life_(server_->life),
        socket_(pool.io_),
        timer_(pool.io_),
        writer_(socket_) {}

  void Dial(Job job) {
    job_.emplace(std::move(job));
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return HoldBack();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.dial_timeout > 0) {
      // The time may run out in the very turn of the loop in which the attempt is given up.
      ExpireAfter(std::chrono::microseconds(pool_.limits_.dial_timeout), [this] {
        if (dialing_) Finish(Result::kUnreachable, /*reuse=*/false);
      });
    }
    dialing_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnDialed(failed); });
  }

  void Start(Job job) {
    job_.emplace(std::move(job));
    // A read may have ended before this, with its handler still in the queue: that handler runs before this
    // one.
    earlier_ = true;
    asio::post(pool_.io_, [self = shared_from_this()] { self->earlier_ = false; });
    Write();
  }

  // Says nothing to the attempt's owner: for idle connections and attempts that are given up.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.Forget(*this);
  }

  // Closes without a word to the pool, which is going: what is still to be called back finds it closed.
  void Abandon() {
    closed_ = true;
    job_.reset();
    writer_.Stop();
    DropAnswer();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Guards against writing to a connection whose end has come in but has not been handled: what is written
  // there is reset, and may have run for all that one can know.
  bool Usable() {
    if (closed_ || !Current()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // Nothing of the attempt has been written, so it cannot have run.
  bool Dialing() const { return dialing_; }
  bool Current() const { return server_->Up() && server_->life == life_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

 private:
  // There is no descriptor for it: the want is ours and says nothing of the server.
  void HoldBack() {
    asio::post(pool_.io_, [self = shared_from_this()] {
      if (!self->closed_) self->Finish(Result::kNoDescriptor, /*reuse=*/false);
    });
  }

  template <typename Duration, typename Then>
  void ExpireAfter(Duration time, Then then) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this(), then, attempt = job_->id](ErrorCode stopped) {
      // The wait may have ended in the very turn of the loop in which its attempt did, and another has begun.
      const bool same = !self->closed_ && self->job_ && self->job_->id == attempt;
      if (!stopped && same && self->timer_.expiry() <= Clock::now()) then();
    });
  }

  void OnDialed(ErrorCode error) {
    if (pool_.hooks_.before_look) pool_.hooks_.before_look();
    if (closed_) return;
    dialing_ = false;
    timer_.cancel();
    // A look at the list after the wait: guards against sending to a server that has meanwhile been told to
    // drain, is gone, or has restarted and is cold. Nothing is written, so it never ran.
    if (error || !Current()) return Finish(Result::kUnreachable, /*reuse=*/false);
    if (job_->begin_by && Clock::now() >= *job_->begin_by) return Finish(Result::kNeverSent, /*reuse=*/false);
    if (job_->expires) TellWhatIsLeft();
    Read();
    Write();
  }

  // The dial has taken a part of what there was when the attempt was decided.
  void TellWhatIsLeft() {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(*job_->expires - Clock::now());
    job_->head.set(kDeadlineHeader, FormatSeconds(std::max<Micros>(left.count(), 0)));
  }

  void Write() {
    RenewParser();
    head_only_ = job_->head.method() == http::verb::head;
    parser_->skip(head_only_);
    writing_ = true;
    whole_ = false;
    RequestHead& head = job_->head;
    Body& body = *job_->body;
    if (body.ended()) body.length = body.size();
    const bool chunked = !body.length;
    if (chunked) head.chunked(true);
    // As is usual, a method without a body does not announce that it has none.
    const bool carries = head.method() != http::verb::get && head.method() != http::verb::head;
    if (body.length && (*body.length > 0 || carries)) head.content_length(*body.length);
    writer_.Start(shared_from_this(), SerializeHead(head), job_->body, chunked,
                  [self = shared_from_this()](ErrorCode error) { self->OnWritten(error); });
  }

  void OnWritten(ErrorCode error) {
    writing_ = false;
    if (closed_ || !job_) return;
    whole_ = !error;
    // An unfinished request is one that no server begins. That its client stopped sending is no fault of the
    // server's.
    if (error)
      return Finish(job_->body->failed() ? Result::kCancelled : Result::kUnreachable, /*reuse=*/false);
    if (pool_.hooks_.written) pool_.hooks_.written();
    if (broken_) Finish(Result::kReset, /*reuse=*/false);
  }

  // Stays posted while the connection lives, so that a peer's close is seen when it comes. Stops only when an
  // answer waits for room.
  void Read() {
    if (reading_ || closed_) return;
    if (answer_ != nullptr && !answer_->HasCapacity()) {
      if (begun_) timer_.cancel();  // the server is not to blame
      return;
    }
    if (begun_) ExpectMore();
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadSize),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              self->reading_ = false;
                              self->OnRead(error, n);
                            });
  }

  void ExpectMore() {
    ExpireAfter(kMostSilence, [this] { Finish(Result::kTimeout, /*reuse=*/false); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_) return;
    if (error) return OnEnd(error);
    buffer_.commit(n);
    if (!job_) return Close();  // nobody asked
    // What came before the request was written is no answer to it, and what follows could be mistaken for
    // one.
    if (earlier_) return Finish(Result::kReset, /*reuse=*/false);
    Advance();
  }

  // Takes in what has been read, as far as there is room.
  void Advance() {
    const auto kept = shared_from_this();
    if (!Parse()) return Finish(Result::kError, /*reuse=*/false);
    if (closed_ || !job_) return;
    if (parser_->is_done()) return Complete(/*peer_open=*/true);
    Read();
  }

  // False if it is no HTTP, or what is no success is too long.
  bool Parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      if (answer_ != nullptr && !answer_->HasCapacity()) return true;
      ErrorCode error;
      const bool had_head = parser_->is_header_done();
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      // A line that fills the buffer has no end.
      if (error == http::error::need_more) return buffer_.size() + kReadSize <= buffer_.max_size();
      if (error) return false;
      if (!parser_->is_header_done()) continue;
      if (parser_->get().result_int() < 200) {  // 1xx: more comes
        Restart();
        continue;
      }
      if (!had_head) TakeHead();
      if (!TakePiece()) return false;
      if (closed_ || !job_) return true;
    }
    return true;
  }

  void Restart() {
    if (!parser_->is_done()) return;
    RenewParser();
    parser_->skip(head_only_);
  }

  // Not eager: an eager parser forgets that the header announced too long a body when bytes of the body came
  // along with it, and then takes in as much as the server sends.
  void RenewParser() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    begun_ = false;
    answer_ = nullptr;
    passed_over_ = 0;
  }

  void TakeHead() {
    if (ResultOf(parser_->get()) != Result::kSuccess) return;
    answer_ = std::make_shared<Body>(pool_.budget_);
    const auto length = parser_->content_length();
    if (length) answer_->length = *length;
    const std::weak_ptr<Connection> weak = shared_from_this();
    // Both later: who takes or abandons it may be in the middle of what it does with this connection.
    answer_->on_capacity = [weak] {
      if (const auto self = weak.lock()) asio::post(self->pool_.io_, [self] { self->OnRoom(); });
    };
    answer_->on_abandoned = [weak] {
      if (const auto self = weak.lock()) asio::post(self->pool_.io_, [self] { self->OnAbandoned(); });
    };
    if (parser_->is_done()) return;
    if (answer_->length && *answer_->length > kMaxBufferedBodyBytes) return Begin();
    if (!answer_->length) ExpireAfter(kMostHolding, [this] { Begin(); });
  }

  // False if what nobody wants is longer than it is worth to read.
  bool TakePiece() {
    std::string& piece = parser_->get().body();
    if (answer_ == nullptr) {
      passed_over_ += piece.size();
      piece.clear();
      return passed_over_ <= kMaxBufferedBodyBytes;
    }
    answer_->Append(std::exchange(piece, {}));
    if (!begun_ && !parser_->is_done() && !answer_->HasCapacity()) Begin();
    return true;
  }

  void Begin() {
    if (std::exchange(begun_, true)) return;
    ExpectMore();
    job_->events.begun(HeadOf(), answer_);
  }

  ResponseHead HeadOf() const {
    ResponseHead head;
    head.result(parser_->get().result());
    if (const auto type = parser_->get()[http::field::content_type]; !type.empty())
      head.set(http::field::content_type, type);
    return head;
  }

  void OnRoom() {
    if (closed_ || !job_ || !begun_ || parser_->is_done()) return;
    ExpectMore();
    Advance();
  }

  void OnAbandoned() {
    if (!closed_ && job_ && begun_) Finish(Result::kCancelled, /*reuse=*/false);
  }

  void DropAnswer() {
    if (answer_ != nullptr) std::exchange(answer_, nullptr)->Fail();
  }

  // The peer closed or reset the connection. Only a close ends a body that has no other end (RFC 9112, 6.3
  // and 8): a reset takes away what had been sent and was not read yet.
  void OnEnd(ErrorCode how) {
    if (!job_) return Close();
    if (how == asio::error::eof && parser_->is_header_done() && !parser_->is_done()) {
      ErrorCode error;
      parser_->put_eof(error);  // an error if it is cut off
      if (!error && parser_->is_done()) return Complete(/*peer_open=*/false);
    }
    if (!writing_) return Finish(Result::kReset, /*reuse=*/false);
    // Whether the last byte went out shows when the write ends; closing the socket ends it.
    broken_ = true;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Complete(bool peer_open) {
    const bool reuse = peer_open && whole_ && parser_->get().keep_alive() && buffer_.size() == 0;
    if (answer_ != nullptr) answer_->End();
    Finish(ResultOf(parser_->get()), reuse);
  }

  void Finish(Result result, bool reuse) {
    const auto self = shared_from_this();
    const Job job = std::move(*job_);
    job_.reset();
    timer_.cancel();
    pool_.attempts_.erase(job.id);
    UpstreamAnswer answer{result, {}, nullptr};
    if (result == Result::kSuccess) {
      answer.head = HeadOf();
      if (!begun_) answer.body = answer_;
      answer_ = nullptr;  // whole: its writer goes on without this connection
    }
    begun_ = false;
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    job.events.done(std::move(answer));
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t life_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // of the dial, and then of the answer
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::response_parser<IncrementalBody>> parser_;
  std::optional<Job> job_;
  MessageWriter writer_;
  BodyPtr answer_;               // of a success, from its head to its end
  std::size_t passed_over_ = 0;  // of the body of what is none
  bool begun_ = false;           // the answer is passed on as it comes
  bool head_only_ = false;       // the request is HEAD
  bool reading_ = false;
  bool dialing_ = false;
  bool writing_ = false;
  bool earlier_ = false;  // what is read came before the request
  bool whole_ = false;    // the request's last byte has been written
  bool broken_ = false;   // the peer ended while it was being written
  bool closed_ = false;
};

Upstream::Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget, Hooks hooks)
    : io_(io), limits_(limits), budget_(std::move(budget)), hooks_(std::move(hooks)), sweep_(io) {}

Upstream::~Upstream() {
  for (const auto& [id, connection] : attempts_)
    if (connection != nullptr) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // the two hold each other
  }
}

void Upstream::Update(Server& server, const Endpoint& endpoint) {
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kRemoved) server.address = endpoint.address;
  if (same && server.Up()) return;
  if (!same) ++server.life;
  CloseIdle(server);
}

void Upstream::CloseIdle(Server& server) {
  for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->Close();
}

void Upstream::Retire(const std::string& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  ++found->second->life;
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
  for (auto& [id, server] : before) {  // not in the whole list: gone
    Endpoint gone{server->info, server->address};
    gone.info.state = ServerInfo::State::kRemoved;
    Update(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, Order order, Events events) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->Up())
    return FailLater(std::move(events), Result::kUnreachable);
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = TakeIdle(*server);
  const AttemptId attempt = ++last_attempt_;
  const bool runs = order.left > 0 && order.body->ended();
  if (order.left > 0) order.head.set(kDeadlineHeader, FormatSeconds(order.left));
  Connection::Job job{attempt,           std::move(order.head), std::move(order.body),
                      std::move(events), std::nullopt,          std::nullopt};
  if (connection != nullptr) {
    attempts_[attempt] = connection;
    connection->Start(std::move(job));
    return attempt;
  }
  const auto now = Clock::now();
  if (order.begin_within > 0) job.begin_by = now + std::chrono::microseconds(order.begin_within);
  if (runs) job.expires = now + std::chrono::microseconds(order.left);
  if (open_ >= limits_.connections && !MakeRoom())
    return FailLater(std::move(job.events), Result::kNoDescriptor);
  connection = std::make_shared<Connection>(*this, server);
  ++open_;
  attempts_[attempt] = connection;
  connection->Dial(std::move(job));
  return attempt;
}

// The module must not hear of an outcome while it is still saying what to send.
Upstream::AttemptId Upstream::FailLater(Events events, Result result) {
  const AttemptId attempt = ++last_attempt_;
  attempts_[attempt] = nullptr;
  asio::post(io_, [this, attempt, result, done = std::move(events.done)] {
    if (attempts_.erase(attempt) > 0) done({result, {}, nullptr});
  });
  return attempt;
}

void Upstream::GiveUp(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const ConnectionPtr connection = it->second;
  attempts_.erase(it);
  if (connection != nullptr) connection->Close();
}

bool Upstream::Withdraw(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second == nullptr || !it->second->Dialing()) return false;
  GiveUp(attempt);
  return true;
}

Upstream::ConnectionPtr Upstream::TakeIdle(Server& server) {
  while (!server.idle.empty()) {
    ConnectionPtr connection = server.idle.back();
    server.idle.pop_back();
    if (connection->Usable()) return connection;
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has been idle longest. False if all are at work.
bool Upstream::MakeRoom() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr kept = oldest->idle.front();
  kept->Close();
  return true;
}

void Upstream::Release(const ConnectionPtr& connection) {
  if (!connection->Current()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  SweepLater();
}

void Upstream::Forget(const Connection& connection) {
  --open_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::SweepLater() {
  if (limits_.keep_idle <= 0 || std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.keep_idle / kSweeps));
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
    const std::vector<ConnectionPtr> idle = server->idle;  // Close takes them out of the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.keep_idle)) connection->Close();
    any = any || !server->idle.empty();
  }
  if (any) SweepLater();
}

}  // namespace violetwing::sidecar
