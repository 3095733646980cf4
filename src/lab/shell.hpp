// What the lab's shells share: names of the libraries, and the run's clock.
#ifndef VIOLETWING_LAB_SHELL_HPP_
#define VIOLETWING_LAB_SHELL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "lab/records.hpp"

namespace violetwing::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

// The clock of one run, in microseconds; it begins with the set-up. The load begins later, and the times of
// records are moved to that moment once the run is over (run.cpp).
class Clock {
 public:
  using Steady = std::chrono::steady_clock;
  Micros Now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - origin_).count();
  }
  Steady::time_point At(Micros time) const { return origin_ + std::chrono::microseconds(time); }
  // When the first planned moment is; not known before the sidecars are ready.
  Micros load_begin() const { return load_begin_; }
  void BeginLoad(Micros at) { load_begin_ = at; }

 private:
  Steady::time_point origin_ = Steady::now();
  Micros load_begin_ = 0;
};

inline Tcp::endpoint Loopback() { return {asio::ip::address_v4::loopback(), 0}; }

inline std::string Text(const Tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

// Ends a connection with a reset, as the kernel does for a process that dies.
inline void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SHELL_HPP_
