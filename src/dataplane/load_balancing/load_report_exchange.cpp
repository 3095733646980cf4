#include "dataplane/load_balancing/load_report_exchange.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

#include "common/http_client.hpp"
#include "common/steady_time.hpp"

namespace violetwing {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Even an immediate report is delayed briefly, to include the prompts sent right after the first one.
constexpr milliseconds kImmediateDelay{2};
constexpr milliseconds kDeferredDelay{400};

}  // namespace

LoadReportExchange::LoadReportExchange(boost::asio::io_context& io, std::string node,
                                       LoadBalancer& load_balancer)
    : load_balancer_(load_balancer), node_(std::move(node)), socket_(io), send_timer_(io) {}

std::error_code LoadReportExchange::Start(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  const udp::endpoint local(endpoint->address(), endpoint->port());
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    socket_.close();
    return error;
  }
  load_balancer_.SetOnReportPending([this](ReportUrgency urgency) { ScheduleSend(urgency); });
  Receive();
  return {};
}

void LoadReportExchange::Stop() {
  load_balancer_.SetOnReportPending(nullptr);
  send_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void LoadReportExchange::SetNeighbors(const std::vector<std::string>& addresses) {
  neighbors_.clear();
  for (const std::string& address : addresses)
    if (const auto endpoint = ParseEndpoint(address))
      neighbors_.emplace_back(endpoint->address(), endpoint->port());
}

void LoadReportExchange::ScheduleSend(ReportUrgency urgency) {
  const bool immediate = urgency == ReportUrgency::kImmediate;
  if (send_pending_ && (pending_urgency_ == ReportUrgency::kImmediate || !immediate)) return;
  send_pending_ = true;
  pending_urgency_ = urgency;
  send_timer_.expires_after(immediate ? kImmediateDelay : kDeferredDelay);
  send_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Send();
  });
}

void LoadReportExchange::Send() {
  send_pending_ = false;
  LoadReport report = load_balancer_.TakeReport();
  if (report.prompts.empty() || neighbors_.empty() || !socket_.is_open()) return;
  report.node = node_;
  const std::string text = Encode(report);
  if (text.size() > kMaxReportBytes) return;
  boost::system::error_code ignored;  // reports are best effort
  for (const udp::endpoint& neighbor : neighbors_)
    socket_.send_to(boost::asio::buffer(text), neighbor, 0, ignored);
}

void LoadReportExchange::Receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                             [this](const boost::system::error_code& error, std::size_t bytes) {
                               if (!socket_.is_open()) return;
                               // Errors are ICMP replies from neighbors that are down.
                               if (!error) OnDatagram(bytes);
                               Receive();
                             });
}

void LoadReportExchange::OnDatagram(std::size_t bytes) {
  const std::string_view text(buffer_.data(), bytes);
  if (const auto report = DecodeLoadReport(text)) return load_balancer_.OnPeerReport(*report, SteadyMicros());
  spdlog::debug("ignoring malformed load report bytes={}", bytes);
}

}  // namespace violetwing
