// Tells the sidecars nearby of the prompts that this one sends to model servers, and takes their reports:
// without it each sees only its own requests, and several send long prompts to the same idle server at once.
// One datagram a report, unacknowledged. Sockets and timers only: what is told and what it means is in
// chooser.hpp and read_backlog.hpp.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_REPORT_EXCHANGE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_REPORT_EXCHANGE_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <system_error>
#include <vector>

#include "dataplane/load_balancing/load_balancer.hpp"

namespace violetwing {

class LoadReportExchange {
 public:
  // `node` names this sidecar in its reports.
  LoadReportExchange(boost::asio::io_context& io, std::string node, LoadBalancer& load_balancer);

  // Takes reports at this address. Where that fails nothing is told either, and requests go on without.
  std::error_code Start(const std::string& address);
  void Stop();
  void SetNeighbors(const std::vector<std::string>& addresses);

 private:
  // The largest report that is sent or read, in bytes.
  static constexpr std::size_t kMostBytes = 8192;

  void OnNews(bool heavy);
  void Send();
  void Receive();
  void Take(std::size_t bytes);

  LoadBalancer& load_balancer_;
  const std::string node_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer send_soon_;
  bool send_pending_ = false;
  bool soon_ = false;  // the pending report is to leave at once
  std::vector<boost::asio::ip::udp::endpoint> neighbors_;
  std::array<char, kMostBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_REPORT_EXCHANGE_HPP_
