// Exchanges load reports between sidecars: each reports the prompts that it sends to model servers, as it
// would otherwise see only its own requests, and several sidecars would send long prompts to the same idle
// server at once. One UDP datagram a report, not acknowledged and not repeated. Sockets and timers only; what
// a report says and what it means is decided by LoadBalancer.
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

/// Sends and receives load reports. Lives on the thread of `io`; must outlive no handler, so Stop it first.
class LoadReportExchange {
 public:
  /// `node` names this sidecar in its reports. `load_balancer` must outlive the exchange.
  LoadReportExchange(boost::asio::io_context& io, std::string node, LoadBalancer& load_balancer);

  /// Receives reports at `address` ("host:port"), and begins to send. Errors: an invalid address, or those of
  /// binding the socket; then nothing is sent either, and requests go on without reports.
  std::error_code Start(const std::string& address);
  /// Ends both directions; a report that is pending is dropped.
  void Stop();
  /// Whom to send to, as "host:port"; addresses that cannot be parsed are ignored.
  void SetNeighbors(const std::vector<std::string>& addresses);

 private:
  // The largest report that is sent or received.
  static constexpr std::size_t kMaxReportBytes = 8192;

  void ScheduleSend(ReportUrgency urgency);
  void Send();
  void Receive();
  void OnDatagram(std::size_t bytes);

  LoadBalancer& load_balancer_;
  const std::string node_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer send_timer_;
  bool send_pending_ = false;
  ReportUrgency pending_urgency_ = ReportUrgency::kDeferred;
  std::vector<boost::asio::ip::udp::endpoint> neighbors_;
  std::array<char, kMaxReportBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_REPORT_EXCHANGE_HPP_
