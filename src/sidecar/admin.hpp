// The second address, for operators alone: one call to a connection, answered on the sidecar's own loop.
#ifndef VIOLETWING_SIDECAR_ADMIN_HPP_
#define VIOLETWING_SIDECAR_ADMIN_HPP_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "sidecar/balancer_types.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

class Admin {
 public:
  // Callers at once, with a descriptor set aside for each. One more ends the oldest that is still there.
  static constexpr std::size_t kMaxConnections = 16;

  enum class Verdict {
    kDone,
    kNeverListed,
    kLast,     // nothing would be left
    kNotKept,  // in $TMPDIR
  };
  struct Events {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<Verdict(const std::string& server)> disable;
    std::function<Verdict(const std::string& server)> enable;
    std::function<Verdict(const std::string& zone, bool drains, Micros over)> order_zone;
  };

  // Throws boost::system::system_error if the address cannot be listened on.
  Admin(asio::io_context& io, const Tcp::endpoint& address, Events events);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  Tcp::endpoint address() const { return address_; }
  std::size_t callers() const { return callers_.size(); }

 private:
  class Caller;
  using CallerPtr = std::shared_ptr<Caller>;

  void Accept();
  HttpResponse Answer(const http::request<http::string_body>& request) const;

  asio::io_context& io_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  std::list<CallerPtr> callers_;  // the oldest first
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_ADMIN_HPP_
