// A lease on sockets: the calls that its core asks for, one at a time.
#ifndef VIOLETWING_REGISTRY_AGENT_SHELL_HPP_
#define VIOLETWING_REGISTRY_AGENT_SHELL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/http_client.hpp"
#include "registry/agent/core.hpp"

namespace violetwing::registry {

class LeaseHolder {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  struct Events {
    std::function<void(const std::string& what)> on_event;  // in words, for a log
    std::function<void(int status)> on_end;
  };

  // `registries`: where to write, tried in turn. `entry` has the holder of the lease; its term is set here.
  LeaseHolder(boost::asio::io_context& io, std::vector<Endpoint> registries, Entry entry,
              LeaseCore::Settings settings, std::uint64_t seed, Events events);
  ~LeaseHolder();  // says nothing to anybody: the lease ends by itself
  LeaseHolder(const LeaseHolder&) = delete;
  LeaseHolder& operator=(const LeaseHolder&) = delete;

  void Start() { Step(); }
  void Want(LeaseCore::Wanted wanted);
  bool registered() const { return registered_; }

 private:
  static Micros Now();
  void Step();
  void Call(LeaseCore::Ask ask);
  void OnEnd(LeaseCore::Ask ask, int status, const std::string& why);
  LeaseCore::Heard Understand(LeaseCore::Ask ask, int status, std::optional<std::size_t>& go_to) const;
  void Say(const std::string& what);

  boost::asio::io_context& io_;
  const std::vector<Endpoint> registries_;
  Entry entry_;
  LeaseCore core_;
  const Events events_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpExchange> call_;
  std::string answer_;
  std::string said_;
  bool registered_ = false;
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_AGENT_SHELL_HPP_
