#include "dataplane/control_client/control_channel.hpp"

#include <algorithm>
#include <utility>

#include "common/http_client.hpp"

namespace violetwing {
namespace {

namespace http = boost::beast::http;

// The largest answer that is read: a configuration, and all servers.
constexpr std::uint64_t kMostAnswer = std::uint64_t{64} * 1024 * 1024;

}  // namespace

void ControlChannel::Post(const Endpoint& to, const std::string& target, std::string body, Done done) {
  const auto call = std::make_shared<Call>();
  call->request = {http::verb::post, target, 11};
  call->request.set(http::field::host, ToText(to));
  call->request.set(http::field::content_type, "application/octet-stream");
  call->request.body() = std::move(body);
  call->request.prepare_payload();
  call->deadline = std::chrono::steady_clock::now() + 2 * silence_;
  call->done = std::move(done);
  call_ = call;
  if (to != peer_) kept_.reset();
  peer_ = to;
  call->connection = std::exchange(kept_, nullptr);
  call->reused = call->connection != nullptr;
  call->reused ? Write(call) : Connect(call);
}

void ControlChannel::Stop() {
  if (call_ != nullptr) {
    call_->over = true;
    call_->connection->stream.close();
  }
  call_.reset();
  kept_.reset();
}

// An answer that drips in would keep each single wait short: the deadline bounds them all.
void ControlChannel::LimitTime(const Call& call) const {
  call.connection->stream.expires_at(std::min(call.deadline, std::chrono::steady_clock::now() + silence_));
}

void ControlChannel::Connect(const CallPtr& call) {
  call->connection = std::make_shared<Connection>(io_);
  LimitTime(*call);
  call->connection->stream.async_connect(peer_, [this, call](ErrorCode error) {
    if (call->over) return;
    if (error) return End(call, 0, {});
    Write(call);
  });
}

void ControlChannel::Write(const CallPtr& call) {
  LimitTime(*call);
  http::async_write(call->connection->stream, call->request, [this, call](ErrorCode error, std::size_t) {
    if (call->over) return;
    if (error) return Fail(call);
    Read(call);
  });
}

void ControlChannel::Read(const CallPtr& call) {
  LimitTime(*call);
  call->parser.emplace();
  call->parser->body_limit(kMostAnswer);
  http::async_read(call->connection->stream, call->connection->buffer, *call->parser,
                   [this, call](ErrorCode error, std::size_t) {
                     if (call->over) return;
                     if (error) return Fail(call);
                     if (call->parser->keep_alive()) kept_ = call->connection;
                     End(call, static_cast<int>(call->parser->get().result_int()),
                         call->parser->get().body());
                   });
}

void ControlChannel::Fail(const CallPtr& call) {
  const bool untouched = !call->parser || !call->parser->got_some();
  const bool in_time = std::chrono::steady_clock::now() < call->deadline - silence_;
  if (!std::exchange(call->reused, false) || !untouched || !in_time) return End(call, 0, {});
  Connect(call);
}

void ControlChannel::End(const CallPtr& call, int status, const std::string& body) {
  call_.reset();
  call->over = true;
  if (status == 0) call->connection->stream.close();
  call->done(status, body);
}

}  // namespace violetwing
