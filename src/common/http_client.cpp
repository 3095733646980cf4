#include "common/http_client.hpp"

#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

#include "common/http_response.hpp"

namespace violetwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code address_error;
  const auto host = asio::ip::make_address_v4(text.substr(0, colon), address_error);
  unsigned short port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (address_error || error != std::errc() || end != last || port == 0) return std::nullopt;
  return asio::ip::tcp::endpoint(host, port);
}

std::string ToText(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

HttpExchange::HttpExchange(asio::io_context& io, Call call, Events events)
    : call_(std::move(call)), events_(std::move(events)), stream_(io) {}

std::shared_ptr<HttpExchange> HttpExchange::Start(asio::io_context& io, Call call, Events events) {
  std::shared_ptr<HttpExchange> exchange(new HttpExchange(io, std::move(call), std::move(events)));
  exchange->Connect();
  return exchange;
}

void HttpExchange::Stop() {
  finished_ = true;
  stream_.close();
}

void HttpExchange::Connect() {
  stream_.expires_after(call_.idle_timeout);
  stream_.async_connect(call_.to, [self = shared_from_this()](ErrorCode error) {
    if (self->finished_) return;
    if (error) return self->Finish(error.message());
    self->SendRequest();
  });
}

void HttpExchange::SendRequest() {
  request_.method(http::string_to_verb(call_.method));
  request_.target(call_.target);
  request_.set(http::field::host, ToText(call_.to));
  request_.keep_alive(false);
  request_.body() = call_.body;
  request_.prepare_payload();
  http::async_write(stream_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
    if (self->finished_) return;
    if (error) return self->Finish(error.message());
    self->ReadHeader();
  });
}

void HttpExchange::ReadHeader() {
  // The length of a line is limited, that of the body is not. Disabling the limit with boost::none would make
  // Beast 1.74 reject every Content-Length.
  parser_.emplace();
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  http::async_read_header(stream_, buffer_, *parser_,
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                            if (!self->finished_) self->OnHeader(error);
                          });
}

void HttpExchange::OnHeader(ErrorCode error) {
  if (!error) error = CheckResponseHead(parser_->get());
  if (error) return Finish(error.message());
  if (IsInterimResponse(parser_->get())) return ReadHeader();
  status_ = static_cast<int>(parser_->get().result_int());
  ReadBody();
}

void HttpExchange::ReadBody() {
  if (parser_->is_done()) return Finish("");
  stream_.expires_after(call_.idle_timeout);
  auto& body = parser_->get().body();
  body.data = chunk_.data();
  body.size = chunk_.size();
  body.more = true;
  http::async_read_some(stream_, buffer_, *parser_,
                        [self = shared_from_this()](ErrorCode error, std::size_t) {
                          if (self->finished_) return;
                          if (error == http::error::need_buffer) error = {};
                          if (error) return self->Finish(error.message());
                          self->OnBodyChunk();
                        });
}

void HttpExchange::OnBodyChunk() {
  line_.append(chunk_.data(), chunk_.size() - parser_->get().body().size);
  std::size_t begin = 0;
  for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
    const std::string line = line_.substr(begin, end - begin);
    begin = end + 1;
    if (line.find_first_not_of(" \r") != std::string::npos && events_.on_line) events_.on_line(line);
    if (finished_) return;
  }
  line_.erase(0, begin);
  if (line_.size() > call_.max_line_bytes) return Finish("response line exceeds the size limit");
  ReadBody();
}

void HttpExchange::Finish(const std::string& error) {
  finished_ = true;
  stream_.close();
  if (events_.on_end) events_.on_end(status_, error);
}

}  // namespace violetwing
