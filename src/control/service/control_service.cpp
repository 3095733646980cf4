#include "control/service/control_service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "common/json_text.hpp"
#include "common/listener_limits.hpp"
#include "common/steady_time.hpp"
#include "control/api/handlers.hpp"
#include "control/replication/bootstrap.hpp"
#include "control/storage/storage_error.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

constexpr auto kTickInterval = timeval{0, 50'000};
// Time for responses that are still being sent when the process stops.
constexpr std::chrono::milliseconds kShutdownGrace{300};
// A call without progress for this time fails; its peer may be suspended or partitioned.
constexpr std::chrono::milliseconds kExchangeTimeout{500};
constexpr auto kDutyCallTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::microseconds(duties::kCallTimeout));
constexpr std::chrono::seconds kIdleConnectionTimeout{30};
constexpr const char* kOrderPath = "/api/order";
constexpr const char* kExpectedInstanceHeader = "X-Violetwing-Expected-Instance";
constexpr const char* kLeaseHolderHeader = "X-Violetwing-Lease-Holder";
constexpr const char* kFencingTokenHeader = "X-Violetwing-Fencing-Token";

std::string RandomId() {
  std::random_device device;
  char out[33];
  std::snprintf(out, sizeof out, "%08x%08x%08x%08x", device(), device(), device(), device());
  return out;
}

// Empty if the response is not a report, or if a field is missing.
std::optional<ServerReport> ParseReport(const std::string& instance, int status, const std::string& body) {
  const json in = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (status != 200 || !in.is_object()) return std::nullopt;
  try {
    return ServerReport{in.value("utilization", false), in.at("sequence").get<std::int64_t>(),
                        in.at("models").get<std::vector<HeldModel>>()};
  } catch (const json::exception& error) {
    spdlog::warn("cannot parse the report of instance {}: {}", instance, error.what());
    return std::nullopt;
  }
}

// Empty if the response is not an exchange reply.
std::optional<ExchangeReply> DecodeReply(int status, const std::string& body) {
  if (status != 200) return std::nullopt;
  return Decode<ExchangeReply>(body);
}

}  // namespace

ControlService::ControlService(event_base* base, NodeSettings settings)
    : base_(base),
      settings_(std::move(settings)),
      incarnation_(settings_.node_name + "/" + RandomId().substr(0, 8)),
      public_api_(
          base, ControlLimitsOf(settings_).public_api,
          [max_document_bytes = ControlLimitsOf(settings_).max_document_bytes](const std::string& method,
                                                                               const std::string& path) {
            return PublicBodyRule(method, path, max_document_bytes);
          },
          [this](const http::Request& request, const http::Responder& respond) {
            HandlePublic(*core_, request, SteadyMicros(), respond);
          }),
      internal_api_(
          base, ControlLimitsOf(settings_).internal_api,
          [](const std::string&, const std::string& path) { return InternalBodyRule(path); },
          [this](const http::Request& request, const http::Responder& respond) {
            HandleInternal(*core_, request, SteadyMicros(), respond);
          }),
      client_(base),
      duty_client_(base) {}

Fallible<void> ControlService::Start() {
  if (auto opened = OpenStore(); !opened) return opened;
  core_ = std::make_unique<ControlCore>(settings_, incarnation_,
                                        Shards::Stored{store_.replica_id(), store_.stored()}, CoreOutputs(),
                                        SteadyMicros());
  if (failure_) return *failure_;
  if (auto listening = Listen(); !listening) return listening;
  if (auto started = StartStore(); !started) return started;
  StartTimers();
  spdlog::info("control process {} with replica id {} listens on {}", settings_.node_name,
               store_.replica_id(), settings_.control_plane);
  return Success();
}

void ControlService::StartTimers() {
  tick_event_.reset(event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->Tick(); }, this));
  event_add(tick_event_.get(), &kTickInterval);
  orders_event_.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->OnOrdersDue(); },
      this));
  election_event_.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->OnElectionDue(); },
      this));
}

Fallible<void> ControlService::OpenStore() {
  const std::vector<std::string>& seeds = settings_.seeds;
  const bool is_bootstrap_seed =
      settings_.bootstrap && std::find(seeds.begin(), seeds.end(), settings_.control_plane) != seeds.end();
  const std::string replica_id =
      is_bootstrap_seed ? BootstrapReplicaId(settings_.InternalAddress()) : "disk/" + RandomId();
  return store_.Open(settings_.data_dir, replica_id);
}

bool ControlService::MayStoreErrorPass(const std::error_code& error) {
  return error == StorageErrc::kLocked || error == StorageErrc::kFull || error == StorageErrc::kIoError;
}

Fallible<void> ControlService::Listen() {
  const auto listen = [&](http::Server& server, const std::string& address) -> Fallible<void> {
    const std::error_code error = server.Listen(address);
    if (error) return Failure{error, "cannot listen on " + address + ": " + error.message()};
    return Success();
  };
  if (auto listening = listen(public_api_, settings_.control_plane); !listening) return listening;
  return listen(internal_api_, settings_.InternalAddress());
}

Fallible<void> ControlService::StartStore() {
  if (const std::error_code error = writes_pipe_.Open())
    return Failure{error, "cannot open a pipe: " + error.message()};
  writes_event_.reset(event_new(
      base_, writes_pipe_.read_fd(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->OnWritesDurable(); },
      this));
  event_add(writes_event_.get(), nullptr);
  store_.Start([this] { writes_pipe_.Notify(); });
  return Success();
}

ControlCore::Outputs ControlService::CoreOutputs() {
  ControlCore::Outputs outputs;
  outputs.write = [this](ShardWrite write, std::uint64_t token) { store_.Enqueue(std::move(write), token); };
  outputs.exchange = [this](const std::string& address, const ExchangeRequest& request) {
    BeginExchange(address, request);
  };
  outputs.send_order = [this](const PlacementCall& order, duties::FencingToken token) {
    SendOrder(order, token);
  };
  outputs.request_report = [this](const PlacementCall& call) { RequestReport(call); };
  outputs.call_platform = [this](const duties::PlatformCall& call) { CallPlatform(call); };
  outputs.failed = [this](int shard, std::error_code error) { OnShardFailed(shard, error); };
  return outputs;
}

void ControlService::OnShardFailed(int shard, std::error_code error) {
  failure_ = Failure{error, settings_.data_dir + ": shard " + std::to_string(shard) + ": " + error.message()};
  event_base_loopbreak(base_);
}

void ControlService::Reload(const NodeSettings& settings) { core_->SetSeeds(settings.seeds, SteadyMicros()); }

void ControlService::Stop() {
  if (std::exchange(stopping_, true)) return;
  public_api_.StopListening();
  internal_api_.StopListening();
  core_->Stop();
  const auto after = timeval{0, std::chrono::microseconds(kShutdownGrace).count()};
  event_base_loopexit(base_, &after);
}

void ControlService::Tick() {
  const auto time_of_day = std::chrono::system_clock::now().time_since_epoch();
  core_->OnClock(std::chrono::duration_cast<std::chrono::microseconds>(time_of_day).count(), SteadyMicros());
  core_->Tick(SteadyMicros());
  client_.CloseIdle(kIdleConnectionTimeout);
  duty_client_.CloseIdle(kIdleConnectionTimeout);
  ScheduleOrders();
  ScheduleElection();
}

void ControlService::ScheduleBeforeTick(event* timer, std::optional<std::int64_t> due) {
  if (!due) return;
  const std::int64_t wait = std::max<std::int64_t>(*due - SteadyMicros(), 0);
  if (wait >= kTickInterval.tv_usec) return;
  const timeval after{0, static_cast<suseconds_t>(wait)};
  event_add(timer, &after);
}

void ControlService::ScheduleOrders() { ScheduleBeforeTick(orders_event_.get(), core_->NextOrderAt()); }

void ControlService::ScheduleElection() {
  ScheduleBeforeTick(election_event_.get(), core_->NextElectionAt());
}

void ControlService::OnElectionDue() { core_->OnElectionDue(SteadyMicros()); }

void ControlService::OnOrdersDue() {
  core_->OnOrdersDue(SteadyMicros());
  ScheduleOrders();
}

void ControlService::OnWritesDurable() {
  writes_pipe_.Drain();
  for (const std::uint64_t token : store_.TakeDurable()) core_->OnWriteDurable(token, SteadyMicros());
}

// ---- Actions of the core ----

void ControlService::BeginExchange(const std::string& address, const ExchangeRequest& request) {
  const auto done = [this, address](int status, const std::string& body) {
    core_->OnExchangeReply(address, DecodeReply(status, body), SteadyMicros());
  };
  client_.Call(address, "POST", kExchangePath, Encode(request), kExchangeTimeout, done, {},
               http::BodyType::kBinary);
}

http::GuardedClient::Guard ControlService::HoldsLease(duties::Duty duty, duties::FencingToken token) const {
  return [this, duty, token] {
    const bool holds = core_->Grant(duty, SteadyMicros()) == token;
    if (!holds)
      spdlog::info("call not sent, the lease has ended duty={} token={}", duties::Name(duty), token);
    return holds;
  };
}

void ControlService::SendOrder(const PlacementCall& order, duties::FencingToken token) {
  const bool load = order.kind == PlacementCall::Kind::kLoad;
  json body{{"operation", load ? "load_model" : "unload_model"},
            {"model", order.model},
            {"lease_holder", settings_.node_name},
            {"fencing_token", token}};
  if (!order.adapter.empty()) body["adapter"] = order.adapter;
  if (order.if_revision) body["if_revision"] = *order.if_revision;
  http::GuardedClient::Call call;
  call.address = order.address;
  call.path = kOrderPath;
  call.headers = {{kExpectedInstanceHeader, order.instance}};
  call.body = ToJsonText(body);
  call.timeout = kDutyCallTimeout;
  duty_client_.Start(call, HoldsLease(duties::Duty::kPlacement, token),
                     [this, order, load](const http::GuardedResult& result) {
                       spdlog::debug("order instance={} operation={} model={} adapter={} status={}",
                                     order.instance, load ? "load" : "unload", order.model, order.adapter,
                                     result.status);
                       core_->OnOrderResponse(order, result.status, SteadyMicros());
                       ScheduleOrders();
                     });
}

void ControlService::CallPlatform(const duties::PlatformCall& call) {
  http::GuardedClient::Call request;
  request.address = settings_.platform_address;
  request.path = call.path;
  request.headers = {{kLeaseHolderHeader, settings_.node_name},
                     {kFencingTokenHeader, std::to_string(call.token)}};
  request.body = call.body;
  request.timeout = kDutyCallTimeout;
  duty_client_.Start(request, HoldsLease(call.duty, call.token),
                     [this, call](const http::GuardedResult& result) {
                       spdlog::info("platform call path={} subject={} token={} status={}", call.path,
                                    call.subject, call.token, result.status);
                       core_->OnPlatformResponse(call, result.status, SteadyMicros());
                     });
}

void ControlService::RequestReport(const PlacementCall& call) {
  client_.Call(call.address, "GET", "/api/report", {}, kDutyCallTimeout,
               [this, instance = call.instance](int status, const std::string& body) {
                 core_->OnServerReport(instance, ParseReport(instance, status, body), SteadyMicros());
               },
               {{kExpectedInstanceHeader, call.instance}});
}

}  // namespace violetwing
