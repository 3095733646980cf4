// Exchanges load reports between sidecars: each reports the prompts that it sends to model servers. Without
// reports a sidecar sees only its own requests, and several sidecars would send long prompts to the same idle
// server at the same time. A report is one UDP datagram, neither acknowledged nor retransmitted. This file
// handles only sockets and timers; LoadBalancer creates and interprets the reports.
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

/// Sends and receives load reports, on the thread of `io`. Its handlers refer to it: call Stop first, and
/// destroy it only when no handler can run any more.
class LoadReportExchange {
 public:
  /// `node` names this sidecar in its reports. `load_balancer` must outlive the exchange.
  LoadReportExchange(boost::asio::io_context& io, std::string node, LoadBalancer& load_balancer);

  /// Starts to receive reports at `address` ("host:port"), and to send them. Returns an error if the address
  /// is invalid or the socket cannot be bound; then no reports are sent either, and requests are served
  /// without them.
  std::error_code Start(const std::string& address);
  /// Stops sending and receiving; a pending report is dropped.
  void Stop();
  /// Sets the addresses that reports are sent to, as "host:port"; invalid ones are ignored.
  void SetNeighbors(const std::vector<std::string>& addresses);

 private:
  // Maximum size of a report that is sent or received.
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
