#include "control/api/guarded_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "control/api/evhttp_message.hpp"
#include "control/api/host_port.hpp"

namespace violetwing::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{1024} * 1024;
// What is read and not parsed yet: the beginning of a head, of a chunk's header, or of a trailer.
constexpr std::size_t kMaxBufferedBytes = 65'536;

struct BufferEventDeleter {
  void operator()(bufferevent* owned) const { bufferevent_free(owned); }
};
struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};

std::string SerializeRequest(const GuardedClient::Call& call) {
  beast_http::request<beast_http::string_body> request(beast_http::string_to_verb(call.method), call.path,
                                                       kHttp11);
  request.set(beast_http::field::host, call.address);
  request.set(beast_http::field::content_type, ContentType(BodyType::kJson));
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

timeval ToTimeval(std::chrono::milliseconds span) {
  return {static_cast<time_t>(span.count() / 1000), static_cast<suseconds_t>(span.count() % 1000 * 1000)};
}

}  // namespace

// One connection, with the call that it carries, if any. The client owns it; `client_.Remove(this)` destroys
// it.
class GuardedClient::Connection {
 public:
  explicit Connection(GuardedClient& client)
      : client_(client),
        socket_(bufferevent_socket_new(client.base_, -1, BEV_OPT_CLOSE_ON_FREE)),
        timeout_(event_new(
            client.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->OnTimeout(); }, this)) {
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnReadable(); },
        nullptr, [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->OnEvent(what); },
        this);
  }

  bool IsIdle() const { return done_ == nullptr; }
  std::chrono::steady_clock::time_point last_used_at() const { return last_used_at_; }

  void Start(const Call& call, Guard may_send, Callback done) {
    request_text_ = SerializeRequest(call);
    timeout_duration_ = call.timeout;
    may_send_ = std::move(may_send);
    done_ = std::move(done);
    sent_ = false;
    parser_.emplace();
    // Not eager: an eager parser forgets that Content-Length exceeds the limit if bytes of the body arrive
    // together with the head, and reserves as much memory as the peer announces.
    parser_->body_limit(kMaxResponseBytes);
    ArmTimeout();
    connected_ ? DeferSend() : Connect(call.address);
  }

 private:
  void ArmTimeout() {
    const timeval span = ToTimeval(timeout_duration_);
    event_add(timeout_.get(), &span);
  }

  void Connect(const std::string& address) {
    sockaddr_storage to{};
    int size = sizeof to;
    const bool parsed =
        ParseHostPort(address) &&
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&to), &size) == 0;
    const bool connecting =
        parsed && bufferevent_socket_connect(socket_.get(), reinterpret_cast<sockaddr*>(&to), size) == 0;
    // The failure is reported from the event loop, like any other result.
    if (!connecting) event_active(timeout_.get(), EV_TIMEOUT, 0);
  }

  // Sends from the event loop, so that `done` is not called before `Start` has returned to the caller.
  void DeferSend() {
    bufferevent_trigger_event(socket_.get(), BEV_EVENT_CONNECTED, BEV_TRIG_DEFER_CALLBACKS);
  }

  void Send() {
    if (!may_send_()) {
      is_reusable_ = true;
      return Finish({GuardedResult::Outcome::kNotSent, 0});
    }
    sent_ = true;
    ArmTimeout();
    // Writes to the socket directly, because the bufferevent would write in a later iteration of the event
    // loop.
    const ssize_t size =
        send(bufferevent_getfd(socket_.get()), request_text_.data(), request_text_.size(), MSG_NOSIGNAL);
    const std::size_t written = size < 0 ? 0 : static_cast<std::size_t>(size);
    // The bufferevent sends the rest of a partly written request.
    if (written > 0 && written < request_text_.size())
      bufferevent_write(socket_.get(), request_text_.data() + written, request_text_.size() - written);
    if (written == 0) Fail();
  }

  void OnEvent(short what) {
    if ((what & BEV_EVENT_CONNECTED) == 0) return Fail();
    connected_ = true;
    bufferevent_enable(socket_.get(), EV_READ);
    if (!IsIdle() && !sent_) Send();
  }

  // Data that arrives before a request was sent belongs to no call, so the connection cannot be used.
  void OnReadable() {
    if (IsIdle() || !sent_) return Fail();
    evbuffer* input = bufferevent_get_input(socket_.get());
    std::size_t available = evbuffer_get_length(input);
    while (available > 0 && !parser_->is_done()) {
      boost::system::error_code error;
      const std::size_t used =
          parser_->put(boost::asio::buffer(evbuffer_pullup(input, -1), available), error);
      evbuffer_drain(input, used);
      available -= used;
      if (error == beast_http::error::need_more && available <= kMaxBufferedBytes) return;
      if (error) return Fail();
      if (used == 0) break;
    }
    if (!parser_->is_done()) return;
    const bool is_final = parser_->get().result_int() >= 200;
    if (!is_final) return Fail();
    is_reusable_ = parser_->keep_alive() && available == 0;
    Finish({GuardedResult::Outcome::kAnswered, static_cast<int>(parser_->get().result_int())});
  }

  void OnTimeout() { Fail(); }

  void Fail() {
    is_reusable_ = false;
    Finish({sent_ ? GuardedResult::Outcome::kUnanswered : GuardedResult::Outcome::kNotSent, 0});
  }

  // Without the reset, the kernel would still send the request after the close, once the network path is
  // restored.
  void ResetOnClose() {
    const linger reset_on_close{1, 0};
    const evutil_socket_t socket = bufferevent_getfd(socket_.get());
    if (socket >= 0) setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  }

  void Finish(const GuardedResult& result) {
    event_del(timeout_.get());
    last_used_at_ = std::chrono::steady_clock::now();
    const Callback done = std::exchange(done_, nullptr);
    if (result.outcome == GuardedResult::Outcome::kUnanswered) ResetOnClose();
    if (!std::exchange(is_reusable_, false)) client_.Remove(this);  // destroys this object
    if (done != nullptr) done(result);
  }

  GuardedClient& client_;
  const std::unique_ptr<bufferevent, BufferEventDeleter> socket_;
  const std::unique_ptr<event, EventDeleter> timeout_;
  std::string request_text_;
  std::chrono::milliseconds timeout_duration_{0};
  Guard may_send_;
  Callback done_;  // null while idle
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
  bool connected_ = false;
  bool sent_ = false;  // of the current call
  bool is_reusable_ = false;
  std::chrono::steady_clock::time_point last_used_at_;
};

GuardedClient::GuardedClient(event_base* base) : base_(base) {}

GuardedClient::~GuardedClient() = default;

void GuardedClient::Start(const Call& call, Guard may_send, Callback done) {
  const auto [begin, end] = connections_.equal_range(call.address);
  for (auto it = begin; it != end; ++it)
    if (it->second->IsIdle()) return it->second->Start(call, std::move(may_send), std::move(done));
  const auto added = connections_.emplace(call.address, std::make_unique<Connection>(*this));
  added->second->Start(call, std::move(may_send), std::move(done));
}

void GuardedClient::Remove(Connection* connection) {
  std::erase_if(connections_, [&](const auto& entry) { return entry.second.get() == connection; });
}

void GuardedClient::CloseIdle(std::chrono::seconds max_idle) {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(connections_, [&](const auto& entry) {
    return entry.second->IsIdle() && now - entry.second->last_used_at() > max_idle;
  });
}

}  // namespace violetwing::http
