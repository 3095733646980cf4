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

// Reports of what others should know at once leave after so long, together with what else comes by then.
constexpr milliseconds kSoon{2};
// All others.
constexpr milliseconds kLater{400};

}  // namespace

LoadReportExchange::LoadReportExchange(boost::asio::io_context& io, std::string node,
                                       LoadBalancer& load_balancer)
    : load_balancer_(load_balancer), node_(std::move(node)), socket_(io), send_soon_(io) {}

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
  load_balancer_.SetOnNews([this](bool heavy) { OnNews(heavy); });
  Receive();
  return {};
}

void LoadReportExchange::Stop() {
  load_balancer_.SetOnNews(nullptr);
  send_soon_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void LoadReportExchange::SetNeighbors(const std::vector<std::string>& addresses) {
  neighbors_.clear();
  for (const std::string& address : addresses)
    if (const auto endpoint = ParseEndpoint(address))
      neighbors_.emplace_back(endpoint->address(), endpoint->port());
}

void LoadReportExchange::OnNews(bool heavy) {
  if (send_pending_ && (soon_ || !heavy)) return;
  send_pending_ = true;
  soon_ = heavy;
  send_soon_.expires_after(heavy ? kSoon : kLater);
  send_soon_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Send();
  });
}

void LoadReportExchange::Send() {
  send_pending_ = false;
  LoadReport report = load_balancer_.TakeReport();
  if (report.prompts.empty() || neighbors_.empty() || !socket_.is_open()) return;
  report.node = node_;
  const std::string text = Encode(report);
  if (text.size() > kMostBytes) return;
  boost::system::error_code ignored;  // a report that is lost is merely not known elsewhere
  for (const udp::endpoint& neighbor : neighbors_)
    socket_.send_to(boost::asio::buffer(text), neighbor, 0, ignored);
}

void LoadReportExchange::Receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                             [this](const boost::system::error_code& error, std::size_t bytes) {
                               if (!socket_.is_open()) return;
                               if (!error) Take(bytes);  // an error tells of a neighbor that is down
                               Receive();
                             });
}

void LoadReportExchange::Take(std::size_t bytes) {
  const std::string_view text(buffer_.data(), bytes);
  if (const auto report = DecodeLoadReport(text)) return load_balancer_.OnReport(*report, SteadyMicros());
  spdlog::debug("a report of load cannot be read: {} bytes", bytes);
}

}  // namespace violetwing
