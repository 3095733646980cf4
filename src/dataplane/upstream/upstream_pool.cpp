#include "dataplane/upstream/upstream_pool.hpp"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <cerrno>
#include <utility>

namespace violetwing {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMaxIdlePerServer = 24;

}  // namespace

std::shared_ptr<UpstreamExchange> UpstreamPool::Start(UpstreamExchange::Request request,
                                                      UpstreamExchange::Events events) {
  std::shared_ptr<Tcp::socket> reused = TakeIdle(request.instance);
  std::shared_ptr<UpstreamExchange> exchange(
      new UpstreamExchange(*this, std::move(request), std::move(events)));
  // Deferred, as callbacks must not run before the caller has the exchange.
  asio::post(io_, [exchange, reused] {
    if (!exchange->finished_) return exchange->Start(reused);
    boost::system::error_code ignored;
    if (reused != nullptr) reused->close(ignored);
  });
  return exchange;
}

std::shared_ptr<asio::ip::tcp::socket> UpstreamPool::TakeIdle(const std::string& instance) {
  const auto it = idle_.find(instance);
  if (it == idle_.end()) return nullptr;
  boost::system::error_code error;
  while (!it->second.empty()) {
    const IdleConnection idle = std::move(it->second.back());
    it->second.pop_back();
    char byte = 0;
    const ssize_t received = recv(idle.socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool no_data = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (no_data && steady_clock::now() < idle.expires_at) {
      idle.socket->cancel(error);  // cancels the wait of WatchIdle
      if (it->second.empty()) idle_.erase(it);
      return idle.socket;
    }
    idle.socket->close(error);
  }
  idle_.erase(it);
  return nullptr;
}

void UpstreamPool::PutIdle(const std::string& instance, std::shared_ptr<Tcp::socket> socket,
                           milliseconds idle_timeout) {
  boost::system::error_code ignored;
  if (CountIdle() >= max_idle_) {
    socket->close(ignored);
    return;
  }
  std::deque<IdleConnection>& connections = idle_[instance];
  if (connections.size() >= kMaxIdlePerServer) {
    connections.front().socket->close(ignored);
    connections.pop_front();
  }
  WatchIdle(instance, socket);
  connections.push_back({std::move(socket), steady_clock::now() + idle_timeout});
}

std::size_t UpstreamPool::CountIdle() const {
  std::size_t count = 0;
  for (const auto& [instance, connections] : idle_) count += connections.size();
  return count;
}

// Closes an idle connection on any event: unexpected data, an end or an error of the stream.
void UpstreamPool::WatchIdle(const std::string& instance, const std::shared_ptr<Tcp::socket>& socket) {
  socket->async_wait(Tcp::socket::wait_read,
                     [this, instance, socket](const boost::system::error_code& error) {
                       if (error) return;
                       const auto it = idle_.find(instance);
                       if (it == idle_.end()) return;
                       boost::system::error_code ignored;
                       std::erase_if(it->second, [&](const IdleConnection& idle) {
                         if (idle.socket != socket) return false;
                         idle.socket->close(ignored);
                         return true;
                       });
                       if (it->second.empty()) idle_.erase(it);
                     });
}

void UpstreamPool::CloseIdleExcept(const std::function<bool(const std::string&)>& is_alive) {
  boost::system::error_code ignored;
  const auto now = steady_clock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    const bool alive = is_alive(it->first);
    std::erase_if(it->second, [&](const IdleConnection& idle) {
      if (alive && now < idle.expires_at) return false;
      idle.socket->close(ignored);
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void UpstreamPool::CloseAll() {
  CloseIdleExcept([](const std::string&) { return false; });
}

}  // namespace violetwing
