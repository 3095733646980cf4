#include "dataplane/edge_service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>

#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"

namespace violetwing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTickInterval{300};
constexpr milliseconds kDrainPollInterval{20};

std::uint64_t RandomSeed() { return (std::uint64_t{std::random_device()()} << 32U) | std::random_device()(); }

}  // namespace

EdgeService::EdgeService(boost::asio::io_context& io, NodeSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      plane_{
          io,
          std::make_shared<const Directory>(),
          LoadBalancer(RandomSeed()),
          RetryBudget(settings_.retry_ratio, settings_.retry_slack, settings_.retry_window_s, SteadyMicros()),
          UpstreamPool(io, EdgeLimitsOf(settings_).max_idle_upstream_connections),
          Random(RandomSeed()),
          nullptr,
          {}},
      ingress_(io, EdgeLimitsOf(settings_).ingress,
               [this](const ClientPtr& client, ClientRequest request) {
                 std::make_shared<RequestRouter>(plane_, client, std::move(request))->Start();
               }),
      readiness_(
          io, EdgeLimitsOf(settings_).readiness,
          [this](const ClientPtr& client, const ClientRequest& request) { OnReadiness(client, request); }),
      load_reports_(io, settings_.node_name, plane_.load_balancer),
      link_(io, settings_, [this](DirectoryPtr directory) { OnDirectory(std::move(directory)); }),
      tick_timer_(io),
      stop_timer_(io) {
  plane_.link = &link_;
  plane_.load_balancer.SetLocality(settings_.zone,
                                   [this](const std::string& id) { return plane_.pool.HasIdle(id); });
}

Fallible<void> EdgeService::Start() {
  for (const std::string& address : {settings_.ingress, settings_.readiness}) {
    Ingress& listener = address == settings_.ingress ? ingress_ : readiness_;
    if (const std::error_code error = listener.Listen(address))
      return Failure{error, "cannot listen on " + address + ": " + error.message()};
  }
  if (const std::error_code error = load_reports_.Start(settings_.InternalAddress()))
    spdlog::warn("load reports disabled address={} error={}", settings_.InternalAddress(), error.message());
  link_.Start();
  Tick();
  spdlog::info("sidecar started node={} ingress={}", settings_.node_name, settings_.ingress);
  return Success();
}

void EdgeService::OnDirectory(DirectoryPtr directory) {
  plane_.directory = std::move(directory);
  ingress_.SetLimits(plane_.directory->limits());
  load_reports_.SetNeighbors(link_.neighbors());
  const double reporting_sidecars = static_cast<double>(std::max<std::size_t>(link_.neighbors().size(), 1));
  plane_.load_balancer.SetSidecarsPerReport(
      std::max(1.0, (plane_.directory->sidecar_count() - 1) / reporting_sidecars));
  const auto waiting = plane_.waiting_for_model;
  for (const auto& request : waiting) request->OnDirectory();
}

bool EdgeService::IsReady() const { return !stopping_ && plane_.directory->HasConfiguration(); }

void EdgeService::OnReadiness(const ClientPtr& client, const ClientRequest& request) const {
  if (request.target != "/api/readyz") return client->Answer(404, "Not Found", {}, "");
  if (IsReady()) return client->Answer(200, "OK", {}, "ready\n");
  client->Answer(503, "Service Unavailable", {}, "not ready\n");
}

void EdgeService::Tick() {
  plane_.load_balancer.RemoveUnlistedServers(*plane_.directory, SteadyMicros());
  plane_.pool.CloseIdleExcept([this](const std::string& id) {
    const Instance* instance = plane_.directory->Find(id);
    return instance != nullptr && instance->phase != Phase::kDeregistered;
  });
  for (const auto& request : plane_.waiting_for_model) request->ReportDemand();
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void EdgeService::Stop() {
  if (std::exchange(stopping_, true)) return;
  spdlog::info("sidecar draining node={}", settings_.node_name);
  ingress_.SetClosing();
  stop_began_ = steady_clock::now();
  plane_.drain = DrainSchedule::Make(stop_began_, milliseconds(settings_.grace_ms));
  stop_timer_.expires_at(plane_.drain->unready_noticed);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    ingress_.StopListening();
    AwaitDrained();
  });
}

void EdgeService::AwaitDrained() {
  const steady_clock::time_point now = steady_clock::now();
  const auto in_flight = plane_.in_flight;
  for (const auto& request : in_flight) {
    if (now >= plane_.drain->requests_end) request->EndAtShutdown();
    if (now >= plane_.drain->last_attempt) request->OnDrainStage();
  }
  if (ingress_.open_responses() == 0 || now >= plane_.drain->exit) return EndDrain();
  stop_timer_.expires_after(kDrainPollInterval);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) AwaitDrained();
  });
}

void EdgeService::EndDrain() {
  const auto drained_for = std::chrono::duration_cast<milliseconds>(steady_clock::now() - stop_began_);
  spdlog::info("drain ended node={} drained_ms={} open_connections={}", settings_.node_name,
               drained_for.count(), ingress_.open_responses());
  link_.Stop();
  load_reports_.Stop();
  io_.stop();
}

}  // namespace violetwing
