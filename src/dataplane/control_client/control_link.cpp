#include "dataplane/control_client/control_link.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <random>
#include <utility>

#include "common/http_client.hpp"
#include "common/steady_time.hpp"

namespace violetwing {
namespace {

using std::chrono::milliseconds;

// How long a watch request waits at the control process for an update.
constexpr int kLongPollMs = 400;
// A control process that does not respond within this time counts as failed, or the network to it does.
constexpr milliseconds kProgressTimeout{kLongPollMs + 300};
constexpr milliseconds kRetryDelay{100};
// Delay of an urgent demand report, so that it also covers requests that arrive right after the first one.
constexpr milliseconds kUrgentDemandDelay{3};
constexpr Micros kMicrosPerMs = 1000;
// A response of a control process may reflect state that is this old.
constexpr Micros kMaxResponseAge = 900'000;

std::optional<Micros> KeyLifetime(const NodeSettings& settings) {
  if (!settings.revoked_keys) return std::nullopt;
  return std::max<Micros>(settings.revoke_ms * kMicrosPerMs - kMaxResponseAge, 0);
}

// A name that is unique to this run of the sidecar: usage counts start at 0 in each run.
std::string ReporterName(const std::string& node) {
  std::random_device device;
  return node + "/" + std::to_string(device()) + std::to_string(device());
}

}  // namespace

ControlLink::ControlLink(boost::asio::io_context& io, const NodeSettings& settings,
                         std::function<void(DirectoryPtr)> on_directory)
    : io_(io),
      on_directory_(std::move(on_directory)),
      retry_timer_(io),
      demand_timer_(io),
      watch_channel_(io, kProgressTimeout),
      demand_channel_(io, kProgressTimeout),
      key_lifetime_(KeyLifetime(settings)),
      view_(settings.node_name, settings.InternalAddress()),
      selector_(settings.zone, settings.node_name),
      reports_usage_(settings.reports_usage),
      usage_(ReporterName(settings.node_name), settings.report_window_ms * kMicrosPerMs) {
  Reload(settings);
}

void ControlLink::Reload(const NodeSettings& settings) {
  std::vector<std::string> seeds;
  for (const std::string& seed : settings.seeds) seeds.push_back(settings.InternalAddressOf(seed));
  selector_.SetSeeds(std::move(seeds));
}

void ControlLink::Start() { Watch(); }

void ControlLink::Stop() {
  stopped_ = true;
  retry_timer_.cancel();
  demand_timer_.cancel();
  watch_channel_.Stop();
  demand_channel_.Stop();
}

void ControlLink::Watch() {
  if (stopped_) return;
  const auto endpoint = ParseEndpoint(selector_.Current(view_.control_nodes()));
  if (!endpoint) return OnWatchFinished(0, {});
  WatchRequest request = view_.NextWatchRequest(kLongPollMs, TakeDemand());
  watch_sent_at_ = SteadyMicros();
  usage_in_flight_ = usage_.TakeReport(watch_sent_at_);
  request.usage = usage_in_flight_;
  watch_channel_.Post(*endpoint, kWatchPath, Encode(request),
                      [this](int status, const std::string& body) { OnWatchFinished(status, body); });
}

void ControlLink::OnWatchFinished(int status, const std::string& body) {
  if (stopped_) return;
  if (status == 200 && ApplyReply(body)) {
    selector_.OnAnswered(view_.control_nodes(), SteadyMicros());
    boost::asio::post(io_, [this] { Watch(); });
    return;
  }
  usage_.OnFailed(usage_in_flight_);
  selector_.OnFailed(view_.control_nodes(), SteadyMicros());
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Watch();
  });
}

bool ControlLink::ApplyReply(const std::string& body) {
  const auto reply = Decode<WatchReply>(body);
  if (!reply) {
    spdlog::warn("watch reply malformed control={}", selector_.Current(view_.control_nodes()));
    return false;
  }
  try {
    if (reply->true_time) usage_.OnTrueTime(*reply->true_time, SteadyMicros());
    if (view_.Apply(*reply)) on_directory_(view_.MakeDirectory());
    if (view_.version() >= reply->configuration_version) last_current_reply_at_ = watch_sent_at_;
    return true;
  } catch (const std::exception& error) {  // a configuration of an incompatible format
    spdlog::warn("watch reply not applied control={} error={}", selector_.Current(view_.control_nodes()),
                 error.what());
    return false;
  }
}

// ---- Demand ----

void ControlLink::CountDemand(const ModelDemand& demand, DemandUrgency urgency) {
  ModelDemand& sum = demand_[{demand.backend, demand.model}];
  sum.backend = demand.backend;
  sum.model = demand.model;
  sum.requests += demand.requests;
  sum.tokens += demand.tokens;
  sum.waiting += demand.waiting;
  const bool immediate = urgency == DemandUrgency::kImmediate;
  demand_urgent_ = demand_urgent_ || immediate;
  if (!immediate || std::exchange(demand_pending_, true)) return;
  demand_timer_.expires_after(kUrgentDemandDelay);
  demand_timer_.async_wait([this](const boost::system::error_code& error) {
    demand_pending_ = false;
    if (!error && !stopped_) SendDemand();
  });
}

std::vector<ModelDemand> ControlLink::TakeDemand() {
  std::vector<ModelDemand> demand;
  for (auto& [key, sum] : demand_) demand.push_back(std::move(sum));
  demand_.clear();
  demand_urgent_ = false;
  return demand;
}

void ControlLink::SendDemand() {
  const auto endpoint = ParseEndpoint(selector_.Current(view_.control_nodes()));
  if (!endpoint || demand_.empty()) return;
  // Demand counted during a call is sent with the next report or watch request.
  if (demand_channel_.busy()) return;
  demand_channel_.Post(*endpoint, kDemandPath, Encode(TakeDemand()), [this](int, const std::string&) {
    if (!demand_.empty() && std::exchange(demand_urgent_, false)) SendDemand();
  });
}

}  // namespace violetwing
