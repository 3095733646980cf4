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

// Time limit for a client to send its request and to read the response.
constexpr auto kRequestTimeout = std::chrono::seconds(3);
// Time for which a connection still reads after the response: closing a socket with unread input resets the
// connection, and the client might lose the response.
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
// Delay before the next accept after a failed one. Without it, the loop would spin while the process is out
// of descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{4} * 1024;
constexpr double kMaxTransitionSeconds = 86'400;  // a day
constexpr std::size_t kMaxAdminHeaderBytes = std::size_t{8} * 1024;

HttpResponse NotAllowed(const char* method) {
  HttpResponse response = TextResponse(http::status::method_not_allowed, "wrong method\n");
  response.set(http::field::allow, method);
  return response;
}

HttpResponse ResponseTo(Admin::OrderResult result) {
  switch (result) {
    case Admin::OrderResult::kDone:
      return TextResponse(http::status::ok, "done\n");
    case Admin::OrderResult::kUnknown:
      return TextResponse(http::status::not_found, "never listed\n");
    case Admin::OrderResult::kNoServerElsewhere:
      return TextResponse(http::status::conflict, "no server would be left elsewhere\n");
    case Admin::OrderResult::kNotStored:
      break;
  }
  return TextResponse(http::status::internal_server_error, "cannot be kept in $TMPDIR\n");
}

HttpResponse HandleServerOrder(const std::string& body,
                               const std::function<Admin::OrderResult(const std::string&)>& apply_order) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("who") || !json.at("who").is_string())
    return TextResponse(http::status::bad_request, "want {\"who\":\"ID\"}\n");
  return ResponseTo(apply_order(json.at("who").get<std::string>()));
}

HttpResponse HandleZoneOrder(const std::string& body, bool drains, const Admin::Events& events) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const bool has_zone = json.is_object() && json.contains("zone") && json.at("zone").is_string();
  const bool valid = has_zone && (!json.contains("over_s") || json.at("over_s").is_number());
  const double seconds = valid ? json.value("over_s", 0.0) : -1;
  if (!(seconds >= 0 && seconds <= kMaxTransitionSeconds))
    return TextResponse(http::status::bad_request,
                        "want {\"zone\":\"NAME\",\"over_s\":SECONDS}, a day at most\n");
  return ResponseTo(
      events.order_zone(json.at("zone").get<std::string>(), drains, static_cast<Micros>(seconds * 1e6)));
}

}  // namespace

class Admin::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Admin& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), deadline_(owner.io_) {
    parser_.header_limit(kMaxAdminHeaderBytes);
    parser_.body_limit(kMaxAdminBodyBytes);
  }

  void Start() {
    ExpireAfter(kRequestTimeout);
    http::async_read_header(socket_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error) return self->Reject(error);
                              self->ReadBody();
                            });
  }

  // Closes the socket without removing the connection from its owner, which is being destroyed.
  void Detach() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto keep_alive = *position;
    owner_->connections_.erase(position);
    Detach();
    deadline_.cancel();
  }

  std::list<ConnectionPtr>::iterator position;

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
      if (self->owner_ != nullptr) self->Write(self->owner_->Handle(self->parser_.get()));
    });
  }

  void Reject(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error == http::error::body_limit)
      return Write(TextResponse(http::status::payload_too_large, "too large\n"));
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
      return Write(TextResponse(http::status::request_header_fields_too_large, "header too large\n"));
    // Any other error than malformed HTTP concerns the connection itself, so no response can be sent.
    if (error.category() != make_error_code(http::error::bad_method).category() ||
        error == http::error::end_of_stream || error == http::error::partial_message)
      return Close();
    Write(TextResponse(http::status::bad_request, "malformed request\n"));
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
      self->ExpireAfter(kLingerTimeout);
      self->ReadUntilClosed();
    });
  }

  void ReadUntilClosed() {
    socket_.async_read_some(asio::buffer(discarded_),
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->Close();
                              self->ReadUntilClosed();
                            });
  }

  Admin* owner_;  // null once the connection is closed
  Tcp::socket socket_;
  asio::steady_timer deadline_;
  beast::flat_buffer buffer_{kMaxAdminHeaderBytes + kMaxAdminBodyBytes};
  http::request_parser<http::string_body> parser_;
  HttpResponse response_;
  std::array<char, 512> discarded_{};
};

Admin::Admin(asio::io_context& io, const Tcp::endpoint& address, Events events)
    : io_(io),
      events_(std::move(events)),
      acceptor_(io, address, /*reuse_addr=*/true),
      address_(acceptor_.local_endpoint()),
      accept_retry_timer_(io) {
  Accept();
}

Admin::~Admin() {
  for (const ConnectionPtr& connection : connections_) connection->Detach();
}

void Admin::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      return accept_retry_timer_.async_wait([this](ErrorCode stopped) {
        if (!stopped) Accept();
      });
    }
    if (connections_.size() >= kMaxConnections) ConnectionPtr(connections_.front())->Close();
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connection->position = connections_.insert(connections_.end(), connection);
    connection->Start();
    Accept();
  });
}

HttpResponse Admin::Handle(const http::request<http::string_body>& request) const {
  const std::string_view target(request.target().data(), request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kReadyPath) {
    if (request.method() != http::verb::get) return NotAllowed("GET");
    return events_.ready() ? TextResponse(http::status::ok, "ready\n")
                           : TextResponse(http::status::service_unavailable, "not yet\n");
  }
  if (path == "/metrics") {
    if (request.method() != http::verb::get) return NotAllowed("GET");
    return TextResponse(http::status::ok, events_.metrics());
  }
  if (path == "/servers/disable" || path == "/servers/enable") {
    if (request.method() != http::verb::post) return NotAllowed("POST");
    return HandleServerOrder(request.body(), path == "/servers/disable" ? events_.disable : events_.enable);
  }
  if (path == "/zones/drain" || path == "/zones/return") {
    if (request.method() != http::verb::post) return NotAllowed("POST");
    return HandleZoneOrder(request.body(), path == "/zones/drain", events_);
  }
  return TextResponse(http::status::not_found, "no such call\n");
}

}  // namespace violetwing::sidecar
