#include "dataplane/control_client/control_channel.hpp"

#include <algorithm>
#include <utility>

#include "common/http_client.hpp"
#include "common/http_response.hpp"

namespace violetwing {
namespace {

namespace http = boost::beast::http;

// A watch reply may hold a complete configuration and all servers.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{64} * 1024 * 1024;

}  // namespace

void ControlChannel::Post(const Endpoint& to, const std::string& target, std::string body,
                          Callback callback) {
  const auto call = std::make_shared<Call>();
  call->request = {http::verb::post, target, 11};
  call->request.set(http::field::host, ToText(to));
  call->request.set(http::field::content_type, "application/octet-stream");
  call->request.body() = std::move(body);
  call->request.prepare_payload();
  call->deadline = std::chrono::steady_clock::now() + 2 * progress_timeout_;
  call->callback = std::move(callback);
  call_ = call;
  if (to != peer_) idle_connection_.reset();
  peer_ = to;
  call->connection = std::exchange(idle_connection_, nullptr);
  call->reused = call->connection != nullptr;
  call->reused ? Write(call) : Connect(call);
}

void ControlChannel::Stop() {
  if (call_ != nullptr) {
    call_->finished = true;
    call_->connection->stream.close();
  }
  call_.reset();
  idle_connection_.reset();
}

// Caps each step's timeout by the call's deadline: a response that trickles in would otherwise renew the
// progress timeout without end.
void ControlChannel::ArmTimeout(const Call& call) const {
  call.connection->stream.expires_at(
      std::min(call.deadline, std::chrono::steady_clock::now() + progress_timeout_));
}

void ControlChannel::Connect(const CallPtr& call) {
  call->connection = std::make_shared<Connection>(io_);
  ArmTimeout(*call);
  call->connection->stream.async_connect(peer_, [this, call](ErrorCode error) {
    if (call->finished) return;
    if (error) return Finish(call, 0, {});
    Write(call);
  });
}

void ControlChannel::Write(const CallPtr& call) {
  ArmTimeout(*call);
  http::async_write(call->connection->stream, call->request, [this, call](ErrorCode error, std::size_t) {
    if (call->finished) return;
    if (error) return RetryOrFail(call);
    ReadHead(call);
  });
}

void ControlChannel::ReadHead(const CallPtr& call) {
  ArmTimeout(*call);
  call->parser.emplace();
  call->parser->body_limit(kMaxResponseBytes);
  http::async_read_header(call->connection->stream, call->connection->buffer, *call->parser,
                          [this, call](ErrorCode error, std::size_t) {
                            if (call->finished) return;
                            if (error) return RetryOrFail(call);
                            OnHead(call);
                          });
}

void ControlChannel::OnHead(const CallPtr& call) {
  if (CheckResponseHead(call->parser->get())) return Finish(call, 0, {});
  if (IsInterimResponse(call->parser->get())) return ReadHead(call);
  ReadBody(call);
}

// The body has the same time limit as the head.
void ControlChannel::ReadBody(const CallPtr& call) {
  http::async_read(call->connection->stream, call->connection->buffer, *call->parser,
                   [this, call](ErrorCode error, std::size_t) {
                     if (call->finished) return;
                     if (error) return RetryOrFail(call);
                     if (call->parser->keep_alive()) idle_connection_ = call->connection;
                     Finish(call, static_cast<int>(call->parser->get().result_int()),
                            call->parser->get().body());
                   });
}

void ControlChannel::RetryOrFail(const CallPtr& call) {
  const bool no_response_yet = !call->parser || !call->parser->got_some();
  const bool in_time = std::chrono::steady_clock::now() < call->deadline - progress_timeout_;
  if (!std::exchange(call->reused, false) || !no_response_yet || !in_time) return Finish(call, 0, {});
  Connect(call);
}

void ControlChannel::Finish(const CallPtr& call, int status, const std::string& body) {
  call_.reset();
  call->finished = true;
  if (status == 0) call->connection->stream.close();
  call->callback(status, body);
}

}  // namespace violetwing
