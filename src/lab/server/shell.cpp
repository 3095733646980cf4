#include "lab/server/shell.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace violetwing::lab {
namespace {

constexpr const char* kDeclined = "Srv-Declined: 1\r\n";

std::string Response(const char* status, const std::string& body, const char* headers = "") {
  return std::string("HTTP/1.1 ") + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

double Seconds(beast::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && std::isfinite(value) && value > 0 && value < 3600 ? value : 60;
}

}  // namespace

// One connection to a server, on which one request is under way at a time.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(ServerShell& server, Tcp::socket socket, bool counted)
      : server_(&server), socket_(std::move(socket)), counted_(counted) {
    ErrorCode ignored;
    port_ = socket_.remote_endpoint(ignored).port();
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(std::uint64_t{64} * 1024 * 1024);
    if (buffer_.size() > 0) return ReadRequest();
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error || self->Over()) return self->Close();
      self->ReadRequest();
    });
  }

  void Answer(ServerCore::Answer answer, std::size_t record) {
    AttemptRecord& attempt = server_->world_.records.attempts[record];
    attempt.ended = server_->world_.clock.Now();
    switch (answer) {
      case ServerCore::Answer::kServed:
      case ServerCore::Answer::kRepeat:
        attempt.outcome = answer == ServerCore::Answer::kRepeat ? Outcome::kRepeat : Outcome::kServed;
        return Write(Response("200 OK", "served " + attempt.id + " by " + server_->id_ + "\n"));
      case ServerCore::Answer::kError:
        attempt.outcome = Outcome::kError;
        return Write(Response("500 Internal Server Error", "failed\n"));
      case ServerCore::Answer::kDeclinedExpired:
        attempt.outcome = Outcome::kDeclined;
        return Write(Response("504 Gateway Timeout", "over\n", kDeclined));
      case ServerCore::Answer::kDeclinedFull:
      case ServerCore::Answer::kDeclinedDraining:
        attempt.outcome = Outcome::kDeclined;
        return Write(Response("503 Service Unavailable", "declined\n", kDeclined));
    }
  }

  // No further word from the server.
  void Abandon() { server_ = nullptr; }
  // As the process dies, or the machine is back and does not know the connection.
  void Drop() {
    server_ = nullptr;
    Reset(socket_);
  }

 private:
  bool Over() const { return server_ == nullptr; }

  void ReadRequest() {
    begun_ = server_->world_.clock.Now();
    const auto sent = server_->world_.send_times.Of(port_, taken_);
    if (sent) begun_ = *sent;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](ErrorCode error, std::size_t size) {
                       if (error || self->Over()) return self->Close();
                       self->taken_ += size;
                       self->Handle();
                     });
  }

  void Handle() {
    const auto& request = parser_->get();
    const std::string id(request["Req-Id"]);
    keep_alive_ = request.keep_alive();
    if (id.empty()) {
      const bool probe = request.target() == "/health" || request.target() == "/status/load";
      return Write(probe ? Response("200 OK", "") : Response("404 Not Found", ""));
    }
    ServerShell& server = *server_;
    server.Advance();
    const Micros now = server.world_.clock.Now();
    Records& records = server.world_.records;
    const std::size_t record = records.attempts.size();
    AttemptRecord attempt;
    attempt.id = id;
    attempt.life = server.life_;
    attempt.sent = begun_;
    attempt.arrived = now;
    attempt.first_on_connection = std::exchange(first_, false);
    attempt.tells = static_cast<Micros>(Seconds(request["Req-Deadline"]) * 1e6);
    attempt.work_us = AttemptWork(server.world_.scenario, server.world_.plan, id, server.number_);
    records.attempts.push_back(attempt);
    if (ParseTryId(id).arrival >= server.world_.plan.arrivals.size())
      return Write(Response("400 Bad Request", ""));
    if (!counted_) return Answer(ServerCore::Answer::kDeclinedFull, record);
    const std::string key(request["Idempotency-Key"]);
    if (!key.empty() && server.pod_->Seen(now, key)) return Answer(ServerCore::Answer::kRepeat, record);
    const Micros expires = now + records.attempts[record].tells;
    const double rate = std::max(server.errors_, server.spec_.error_rate);
    const bool fails = AttemptFails(server.world_.plan, id, server.number_, rate);
    const auto answer = server.core_.Offer(now, record, attempt.work_us, expires, fails);
    if (server.core_.fallen()) return server.Fall();
    if (answer) return Answer(*answer, record);
    if (!key.empty()) server.pod_->Keep(now, key);
    server.jobs_[record] = weak_from_this();
    WatchForEnd();
    server.Advance();
  }

  // While a request is in work its client may leave, which frees the place in the table and stops no work.
  void WatchForEnd() {
    waiting_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error || self->Over() || !self->waiting_) return;
      char byte = 0;
      ErrorCode end;
      const std::size_t size =
          self->socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, end);
      if (end || size == 0) self->Close();
    });
  }

  void Write(std::string text) {
    waiting_ = false;
    output_ = std::move(text);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                        if (error || self->Over() || !self->keep_alive_) return self->Close();
                        self->Read();
                      });
  }

  void Close() {
    if (server_ == nullptr) return;
    ServerShell* const server = std::exchange(server_, nullptr);
    ErrorCode ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();  // the server's may be the last hold
    server->sessions_.erase(self);  // before anything ends: an answer that is due now has nowhere to go
    server->Advance();
    if (counted_) server->core_.Disconnect(server->world_.clock.Now());
  }

  ServerShell* server_;  // null once the connection or the server is over
  Tcp::socket socket_;
  bool counted_;  // in the table of connections
  std::uint16_t port_ = 0;
  std::uint64_t taken_ = 0;
  bool first_ = true;
  bool waiting_ = false;
  bool keep_alive_ = true;
  Micros begun_ = 0;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string output_;
};

ServerShell::ServerShell(const ServerWorld& world, int number, std::shared_ptr<KeyMemory> pod,
                         std::function<void(Door::State)> on_door)
    : world_(world),
      number_(number),
      spec_(world.scenario
                .machines[static_cast<std::size_t>(
                    world.plan.servers[static_cast<std::size_t>(number)].machine)]
                .server),
      core_(spec_),
      pod_(std::move(pod)),
      on_door_(std::move(on_door)),
      timer_(world.io),
      door_(world.io, [this](Tcp::socket socket) { OnAccept(std::move(socket)); }) {}

ServerShell::~ServerShell() {
  for (const auto& session : sessions_) session->Drop();
}

void ServerShell::SetDoor(Door::State state) {
  door_.Set(state);
  if (on_door_) on_door_(state);
}

void ServerShell::Start(const std::string& id, bool cold) {
  if (core_.up() || silent_) Crash();
  id_ = id;
  life_ = static_cast<int>(world_.records.lives.size());
  world_.records.lives.push_back({id, number_, world_.clock.Now(), cold, kNever, false});
  core_.Start(world_.clock.Now(), cold);
  SetDoor(Door::State::kOpen);
}

void ServerShell::End() {
  const Micros now = world_.clock.Now();
  if (life_ >= 0) {
    LifeRecord& life = world_.records.lives[static_cast<std::size_t>(life_)];
    if (life.ended == kNever) life.ended = now;
  }
  for (const auto& [record, session] : jobs_) {
    world_.records.attempts[record].outcome = Outcome::kCutOff;
    world_.records.attempts[record].ended = now;
  }
  jobs_.clear();
  timer_.cancel();
  core_.Stop();
}

void ServerShell::Crash() {
  End();
  for (const auto& session : std::exchange(sessions_, {})) session->Drop();
  silent_ = false;
  SetDoor(Door::State::kRefusing);
}

void ServerShell::Fall() {
  world_.records.lives[static_cast<std::size_t>(life_)].fell = true;
  Crash();
}

void ServerShell::Vanish() {
  End();
  silent_ = true;
  for (const auto& session : sessions_) session->Abandon();
  SetDoor(Door::State::kSilent);
}

void ServerShell::Slow(double factor) {
  Advance();
  core_.Slow(world_.clock.Now(), factor);
  Advance();
}

void ServerShell::OnAccept(Tcp::socket socket) {
  Advance();
  const bool counted = core_.Connect(world_.clock.Now());
  const auto session = std::make_shared<ServerSession>(*this, std::move(socket), counted);
  sessions_.insert(session);
  session->Read();
  Advance();
}

void ServerShell::Advance() {
  if (!core_.up()) return;
  for (const ServerCore::Done& done : core_.Advance(world_.clock.Now())) {
    const auto it = jobs_.find(done.job);
    if (it == jobs_.end()) continue;
    const auto session = it->second.lock();
    jobs_.erase(it);
    AttemptRecord& attempt = world_.records.attempts[done.job];
    attempt.ended = done.at;
    attempt.outcome = done.answer == ServerCore::Answer::kServed            ? Outcome::kServed
                      : done.answer == ServerCore::Answer::kDeclinedExpired ? Outcome::kDeclined
                                                                            : Outcome::kError;
    if (session != nullptr && sessions_.count(session) > 0) session->Answer(done.answer, done.job);
  }
  const auto next = core_.Next();
  if (!next) return;
  timer_.expires_at(world_.clock.At(*next));
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Advance();
  });
}

}  // namespace violetwing::lab
