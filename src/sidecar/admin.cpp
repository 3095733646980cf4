#include "sidecar/admin.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace violetwing::sidecar {
namespace {

// How long a caller may take to send its call and to read the answer.
constexpr auto kMostCall = std::chrono::seconds(3);
// How long a connection still reads after its answer: closing it with input unread would reset it, and the
// answer might be lost with that.
constexpr auto kLinger = std::chrono::milliseconds(500);
// How long accepting rests after it failed: guards against a loop that spins where descriptors have run out.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr std::size_t kMostCallBody = std::size_t{4} * 1024;
constexpr double kMostOver = 86'400;  // seconds
constexpr std::size_t kMostCallHeader = std::size_t{8} * 1024;

HttpResponse NotAllowed(const char* method) {
  HttpResponse response = Plain(http::status::method_not_allowed, "wrong method\n");
  response.set(http::field::allow, method);
  return response;
}

HttpResponse AnswerVerdict(Admin::Verdict verdict) {
  switch (verdict) {
    case Admin::Verdict::kDone:
      return Plain(http::status::ok, "done\n");
    case Admin::Verdict::kNeverListed:
      return Plain(http::status::not_found, "never listed\n");
    case Admin::Verdict::kLast:
      return Plain(http::status::conflict, "no server would be left elsewhere\n");
    case Admin::Verdict::kNotKept:
      break;
  }
  return Plain(http::status::internal_server_error, "cannot be kept in $TMPDIR\n");
}

HttpResponse AnswerBan(const std::string& body,
                       const std::function<Admin::Verdict(const std::string&)>& carry_out) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("who") || !json.at("who").is_string())
    return Plain(http::status::bad_request, "want {\"who\":\"ID\"}\n");
  return AnswerVerdict(carry_out(json.at("who").get<std::string>()));
}

HttpResponse AnswerZone(const std::string& body, bool drains, const Admin::Events& events) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const bool zone = json.is_object() && json.contains("zone") && json.at("zone").is_string();
  const bool over = zone && (!json.contains("over_s") || json.at("over_s").is_number());
  const double seconds = over ? json.value("over_s", 0.0) : -1;
  if (!(seconds >= 0 && seconds <= kMostOver))
    return Plain(http::status::bad_request, "want {\"zone\":\"NAME\",\"over_s\":SECONDS}, a day at most\n");
  return AnswerVerdict(
      events.order_zone(json.at("zone").get<std::string>(), drains, static_cast<Micros>(seconds * 1e6)));
}

}  // namespace

class Admin::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Admin& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), deadline_(owner.io_) {
    parser_.header_limit(kMostCallHeader);
    parser_.body_limit(kMostCallBody);
  }

  void Start() {
    ExpireAfter(kMostCall);
    http::async_read_header(socket_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error) return self->Reject(error);
                              self->ReadBody();
                            });
  }

  // Closes without a word to the owner, which is going.
  void Abandon() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto kept = *place;
    owner_->callers_.erase(place);
    Abandon();
    deadline_.cancel();
  }

  std::list<CallerPtr>::iterator place;

 private:
  void ExpireAfter(std::chrono::milliseconds time) {
    deadline_.expires_after(time);
    deadline_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped && self->deadline_.expiry() <= std::chrono::steady_clock::now()) self->Close();
    });
  }

  void ReadBody() {
    if (owner_ == nullptr) return;
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Reject(error);
      if (self->owner_ != nullptr) self->Write(self->owner_->Answer(self->parser_.get()));
    });
  }

  void Reject(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error == http::error::body_limit) return Write(Plain(http::status::payload_too_large, "too large\n"));
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
      return Write(Plain(http::status::request_header_fields_too_large, "header too large\n"));
    // What is no error of the form is one of the connection: there is nobody to tell.
    if (error.category() != make_error_code(http::error::bad_method).category() ||
        error == http::error::end_of_stream || error == http::error::partial_message)
      return Close();
    Write(Plain(http::status::bad_request, "malformed request\n"));
  }

  void Write(HttpResponse response) {
    response_ = std::move(response);
    response_.keep_alive(false);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->Close();
      self->socket_.shutdown(Tcp::socket::shutdown_send, error);
      if (error) return self->Close();
      self->ExpireAfter(kLinger);
      self->ReadToEnd();
    });
  }

  void ReadToEnd() {
    socket_.async_read_some(asio::buffer(rest_), [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->Close();
      self->ReadToEnd();
    });
  }

  Admin* owner_;  // null once it is closed
  Tcp::socket socket_;
  asio::steady_timer deadline_;
  beast::flat_buffer buffer_{kMostCallHeader + kMostCallBody};
  http::request_parser<http::string_body> parser_;
  HttpResponse response_;
  std::array<char, 512> rest_{};
};

Admin::Admin(asio::io_context& io, const Tcp::endpoint& address, Events events)
    : io_(io),
      events_(std::move(events)),
      acceptor_(io, address, /*reuse_addr=*/true),
      address_(acceptor_.local_endpoint()),
      pause_(io) {
  Accept();
}

Admin::~Admin() {
  for (const CallerPtr& caller : callers_) caller->Abandon();
}

void Admin::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](ErrorCode stopped) {
        if (!stopped) Accept();
      });
    }
    if (callers_.size() >= kMaxConnections) CallerPtr(callers_.front())->Close();
    const auto caller = std::make_shared<Caller>(*this, std::move(socket));
    caller->place = callers_.insert(callers_.end(), caller);
    caller->Start();
    Accept();
  });
}

HttpResponse Admin::Answer(const http::request<http::string_body>& request) const {
  const std::string_view target(request.target().data(), request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kReadyPath) {
    if (request.method() != http::verb::get) return NotAllowed("GET");
    return events_.ready() ? Plain(http::status::ok, "ready\n")
                           : Plain(http::status::service_unavailable, "not yet\n");
  }
  if (path == "/metrics") {
    if (request.method() != http::verb::get) return NotAllowed("GET");
    return Plain(http::status::ok, events_.metrics());
  }
  if (path == "/servers/disable" || path == "/servers/enable") {
    if (request.method() != http::verb::post) return NotAllowed("POST");
    return AnswerBan(request.body(), path == "/servers/disable" ? events_.disable : events_.enable);
  }
  if (path == "/zones/drain" || path == "/zones/return") {
    if (request.method() != http::verb::post) return NotAllowed("POST");
    return AnswerZone(request.body(), path == "/zones/drain", events_);
  }
  return Plain(http::status::not_found, "no such call\n");
}

}  // namespace violetwing::sidecar
