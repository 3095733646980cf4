#include "lab/clients/shell.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "common/http_response.hpp"

namespace violetwing::lab {
namespace {

constexpr Micros kMostRetryAfter = 2'000'000;  // clients follow no longer advice

Micros RetryAfter(beast::string_view text) {
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || !(seconds >= 0)) return 0;
  return static_cast<Micros>(std::min(seconds * 1e6, static_cast<double>(kMostRetryAfter)));
}

}  // namespace

// One request of the plan, over all its tries.
struct ClientCall {
  ClientCall(asio::io_context& io, std::size_t number) : arrival(number), timer(io) {}
  std::size_t arrival;
  int attempt = 0;
  std::size_t record = 0;   // of the try that is under way
  Micros give_up = 0;       // of that try
  bool again_done = false;  // sent once more on a new connection, as the old one closed between requests
  std::shared_ptr<ClientConnection> connection;
  asio::steady_timer timer;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(Application& owner)
      : owner_(&owner), socket_(owner.world_.io), stays_(owner.world_.io) {}

  void Open(const Application::Call& call) {
    call_ = call;
    socket_.async_connect(owner_->sidecar_, [self = shared_from_this()](ErrorCode error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->End(TryEnd::kNoConnection);
      ErrorCode ignored;
      self->socket_.set_option(Tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);  // a read that waits would hold the whole lab
      self->Write();
    });
  }

  void Reuse(const Application::Call& call) {
    call_ = call;
    Write();
  }

  bool used() const { return answers_ > 0; }

  // Its try has given up: it only listens on, for an answer that comes late.
  void StayOn() {
    late_record_ = std::exchange(call_, nullptr)->record;
    ++owner_->staying_;
    stays_.expires_after(std::chrono::microseconds(kLateAnswer + kSocketSlack));
    stays_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Close();
    });
  }

  // The application is gone.
  void Abandon() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }
  // The client is not interested any more.
  void Close() {
    if (owner_ == nullptr) return;
    Application* const owner = std::exchange(owner_, nullptr);
    call_ = nullptr;
    if (late_record_) --owner->staying_;
    stays_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    std::erase(owner->idle_, shared_from_this());
    owner->connections_.erase(shared_from_this());
  }

 private:
  void Write() {
    output_ = owner_->Request(*call_);
    parser_.emplace();
    parser_->body_limit(std::uint64_t{64} * 1024 * 1024);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                        if (self->owner_ == nullptr || self->call_ == nullptr) return;
                        if (error) return self->End(TryEnd::kClosed);
                        self->owner_->Record(*self->call_).sent = self->owner_->world_.clock.Now();
                        if (self->call_->attempt == 0) self->owner_->world_.on_sent(self->call_->arrival);
                        self->ReadAnswer();
                      });
  }

  void ReadAnswer() {
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (self->owner_ != nullptr && self->late_record_) return self->TakeLateAnswer(!error);
      if (self->owner_ == nullptr || self->call_ == nullptr) return;
      if (error) return self->End(TryEnd::kClosed);
      self->TakeAnswer();
    });
  }

  void TakeLateAnswer(bool whole) {
    if (whole) owner_->world_.records.tries[*late_record_].answered_late = owner_->world_.clock.Now();
    Close();
  }

  void TakeAnswer() {
    ++answers_;
    const auto& answer = parser_->get();
    const int status = static_cast<int>(answer.result_int());
    TryRecord& record = owner_->Record(*call_);
    record.invented = CheckResponseHead(answer) ||
                      (status == 200 && answer.body().rfind("served " + record.id + " by ", 0) != 0);
    record.stray = buffer_.size() > 0;
    const Micros wait = RetryAfter(answer[http::field::retry_after]);
    Application* const owner = owner_;
    const Application::Call call = std::exchange(call_, nullptr);
    last_record_ = call->record;
    const bool hangs_up = owner->world_.plan.arrivals[call->arrival].hangs_up;
    if (answer.keep_alive() && !record.stray && !hangs_up) {
      owner->idle_.push_back(shared_from_this());
      WatchIdle();
    } else {
      Close();
    }
    owner->OnEnd(call, TryEnd::kAnswered, status, wait);
  }

  // Between requests: nothing may come but the end. The wait goes on when the connection is used again, and
  // may end with the answer to that, which is another's to read.
  void WatchIdle() {
    socket_.async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), answers = answers_](ErrorCode error) {
          const bool idle = self->call_ == nullptr && !self->late_record_ && self->answers_ == answers;
          if (self->owner_ == nullptr || !idle) return;
          char byte = 0;
          ErrorCode end;
          const std::size_t size = error ? 0 : self->socket_.receive(asio::buffer(&byte, 1), 0, end);
          if (end == asio::error::would_block) return self->WatchIdle();
          if (size > 0) self->owner_->world_.records.tries[self->last_record_].stray = true;
          self->Close();
        });
  }

  void End(TryEnd end) {
    const Application::Call call = std::exchange(call_, nullptr);
    Application* const owner = owner_;
    Close();
    if (call != nullptr) owner->OnEnd(call, end, 0, 0);
  }

  Application* owner_;  // null once it is closed
  Tcp::socket socket_;
  Application::Call call_;  // under way
  std::string output_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  int answers_ = 0;
  std::size_t last_record_ = 0;
  std::optional<std::size_t> late_record_;  // of the try that has given up
  asio::steady_timer stays_;
};

Application::Application(const ClientWorld& world, Tcp::endpoint sidecar)
    : world_(world), sidecar_(std::move(sidecar)) {}

Application::~Application() {
  for (const auto& connection : connections_) connection->Abandon();
}

TryRecord& Application::Record(const ClientCall& call) { return world_.records.tries[call.record]; }

void Application::Begin(std::size_t arrival) {
  const auto call = std::make_shared<ClientCall>(world_.io, arrival);
  calls_.insert(call);
  Try(call);
}

void Application::Try(const Call& call) {
  const Arrival& arrival = world_.plan.arrivals[call->arrival];
  const ClassSpec& kind = world_.scenario.classes[static_cast<std::size_t>(arrival.kind)];
  const Micros now = world_.clock.Now();
  const Micros due = world_.clock.load_begin() + arrival.at;
  const Micros deadline = due + kind.deadline;
  const Micros leaves = arrival.leaves > 0 ? due + arrival.leaves : INT64_MAX;
  const auto budget =
      static_cast<Micros>(static_cast<double>(kind.deadline) * world_.scenario.clients.try_share);
  call->give_up = std::min({now + budget, deadline, leaves});
  call->again_done = false;
  call->record = world_.records.tries.size();
  TryRecord record;
  record.id = TryId(call->arrival, call->attempt);
  record.arrival = call->arrival;
  record.begun = now;
  record.gives_up = call->give_up;
  world_.records.tries.push_back(std::move(record));
  call->timer.expires_at(world_.clock.At(call->give_up));
  call->timer.async_wait([this, call](ErrorCode error) {
    if (error || calls_.count(call) == 0) return;
    const Arrival& mine = world_.plan.arrivals[call->arrival];
    const bool left =
        mine.leaves > 0 && world_.clock.Now() >= world_.clock.load_begin() + mine.at + mine.leaves;
    OnEnd(call, left ? TryEnd::kLeft : TryEnd::kGaveUp, 0, 0);
  });
  Send(call);
}

void Application::Send(const Call& call) {
  if (!idle_.empty()) {
    call->connection = idle_.back();
    idle_.pop_back();
    return call->connection->Reuse(call);
  }
  Record(*call).first_on_connection = true;
  call->connection = std::make_shared<ClientConnection>(*this);
  connections_.insert(call->connection);
  call->connection->Open(call);
}

std::string Application::Request(const ClientCall& call) const {
  const Arrival& arrival = world_.plan.arrivals[call.arrival];
  const ClassSpec& kind = world_.scenario.classes[static_cast<std::size_t>(arrival.kind)];
  const bool safe = kind.effect == Effect::kSafe;
  char deadline[32];
  const Micros left = std::max<Micros>(call.give_up - world_.clock.Now(), 1000);
  std::snprintf(deadline, sizeof deadline, "%.3f", static_cast<double>(left) / 1e6);
  std::string text = std::string(safe ? "GET" : "POST") +
                     " /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + TryId(call.arrival, call.attempt) +
                     "\r\nReq-Kind: " + kind.name + "\r\nReq-Deadline: " + deadline + "\r\n";
  if (!arrival.key.empty()) text += "Idempotency-Key: " + arrival.key + "\r\n";
  return text + (safe ? "\r\n" : "Content-Length: 16\r\n\r\n0123456789abcdef");
}

void Application::OnEnd(const Call& call, TryEnd end, int status, Micros retry_after) {
  const Micros now = world_.clock.Now();
  const auto connection = std::exchange(call->connection, nullptr);
  TryRecord& record = Record(*call);
  // The connection closed between requests and crossed this one: it goes out once more, on a new connection.
  if (end == TryEnd::kClosed && connection != nullptr && connection->used() && !call->again_done &&
      !world_.attempted(record.id)) {
    call->again_done = true;
    record.resent = true;
    record.end = TryEnd::kNoConnection;
    record.ended = now;
    TryRecord next = record;
    next.resent = false;
    next.sent = next.ended = kNever;
    next.end = TryEnd::kOpen;
    next.first_on_connection = true;
    call->record = world_.records.tries.size();
    world_.records.tries.push_back(std::move(next));
    call->connection = std::make_shared<ClientConnection>(*this);
    connections_.insert(call->connection);
    return call->connection->Open(call);
  }
  if (connection != nullptr && end == TryEnd::kGaveUp && record.sent != kNever) {
    connection->StayOn();
  } else if (connection != nullptr && end != TryEnd::kAnswered) {
    connection->Close();
  }
  record.end = end;
  record.ended = now;
  record.status = status;
  call->timer.cancel();
  const Arrival& arrival = world_.plan.arrivals[call->arrival];
  const ClassSpec& kind = world_.scenario.classes[static_cast<std::size_t>(arrival.kind)];
  const bool served = end == TryEnd::kAnswered && status == 200;
  if (served || end == TryEnd::kLeft || ++call->attempt >= world_.scenario.clients.tries) return Finish(call);
  const Micros wait = arrival.honours && retry_after > 0 ? retry_after
                      : end == TryEnd::kGaveUp           ? 0
                                                         : world_.scenario.clients.backoff;
  if (now + wait >= world_.clock.load_begin() + arrival.at + kind.deadline) return Finish(call);
  TryLater(call, wait);
}

void Application::TryLater(const Call& call, Micros wait) {
  call->timer.expires_after(std::chrono::microseconds(wait));
  call->timer.async_wait([this, call](ErrorCode error) {
    if (!error && calls_.count(call) > 0) Try(call);
  });
}

void Application::Finish(const Call& call) { calls_.erase(call); }

}  // namespace violetwing::lab
