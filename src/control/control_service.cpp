#include "control/control_service.hpp"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "common/steady_time.hpp"
#include "control/api/handlers.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

constexpr auto kTickEvery = timeval{0, 50'000};
constexpr std::chrono::milliseconds kStopAfter{300};
// Without progress for so long a call has failed: its peer may stand still, or the way to it be cut.
constexpr std::chrono::milliseconds kExchangeSilence{500};
constexpr std::chrono::milliseconds kOrderSilence{800};
constexpr std::chrono::seconds kCloseUnused{30};
constexpr const char* kExpectedInstance = "X-Violetwing-Expected-Instance";

std::string RandomName() {
  std::random_device device;
  char out[33];
  std::snprintf(out, sizeof out, "%08x%08x%08x%08x", device(), device(), device(), device());
  return out;
}

// What a server's report says; empty if it says nothing that can be used.
std::optional<ServerReport> ReadReport(const std::string& instance, int status, const std::string& body) {
  const json in = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (status != 200 || !in.is_object()) return std::nullopt;
  try {
    return ServerReport{in.value("utilization", false), in.at("sequence").get<std::int64_t>(),
                        in.at("models").get<std::vector<HeldModel>>()};
  } catch (const json::exception& error) {
    spdlog::warn("the report of {} cannot be read: {}", instance, error.what());
    return std::nullopt;
  }
}

// The answer to an exchange; empty if it is not one of ours, or of another version.
std::optional<ExchangeReply> ReadReply(int status, const std::string& body) {
  if (status != 200) return std::nullopt;
  return Decode<ExchangeReply>(body);
}

}  // namespace

ControlService::ControlService(event_base* base, NodeSettings settings)
    : base_(base),
      settings_(std::move(settings)),
      incarnation_(settings_.node_name + "/" + RandomName().substr(0, 8)),
      public_api_(base,
                  [this](const http::Request& request, const http::Answer& answer) {
                    HandlePublic(*core_, request, SteadyMicros(), answer);
                  }),
      internal_api_(base,
                    [this](const http::Request& request, const http::Answer& answer) {
                      HandleInternal(*core_, request, SteadyMicros(), answer);
                    }),
      client_(base) {}

ControlService::~ControlService() {
  if (tick_ != nullptr) event_free(tick_);
  if (orders_due_ != nullptr) event_free(orders_due_);
  if (written_event_ != nullptr) event_free(written_event_);
}

std::error_code ControlService::Start(std::string& problem) {
  if (const std::error_code error = OpenDisk(problem)) return error;
  core_ = std::make_unique<ControlCore>(
      settings_, incarnation_, Shards::Stored{store_.disk(), store_.stored()}, CoreOutputs(), SteadyMicros());
  if (const std::error_code error = Listen(problem)) return error;
  if (const std::error_code error = WatchDisk(problem)) return error;
  tick_ = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->Tick(); }, this);
  event_add(tick_, &kTickEvery);
  orders_due_ = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* at) {
        auto* service = static_cast<ControlService*>(at);
        service->core_->OrdersDue(SteadyMicros());
        service->AwaitOrders();
      },
      this);
  spdlog::info("control process {} of disk {} takes calls at {}", settings_.node_name, store_.disk(),
               settings_.control_plane);
  return {};
}

std::error_code ControlService::OpenDisk(std::string& problem) {
  const std::vector<std::string>& seeds = settings_.seeds;
  const bool founder =
      settings_.bootstrap && std::find(seeds.begin(), seeds.end(), settings_.control_plane) != seeds.end();
  const std::string disk = founder ? FounderDisk(settings_.InternalAddress()) : "disk/" + RandomName();
  return store_.Open(settings_.data_dir, disk, problem);
}

std::error_code ControlService::Listen(std::string& problem) {
  const auto listen = [&](http::Server& server, const std::string& address) {
    const std::error_code error = server.Listen(address);
    if (error) problem = "cannot listen on " + address + ": " + error.message();
    return error;
  };
  if (const std::error_code error = listen(public_api_, settings_.control_plane)) return error;
  return listen(internal_api_, settings_.InternalAddress());
}

// The disk's thread wakes the loop through a pipe.
std::error_code ControlService::WatchDisk(std::string& problem) {
  if (pipe2(written_pipe_, O_CLOEXEC | O_NONBLOCK) != 0) {
    problem = "cannot open a pipe";
    return std::error_code(errno, std::generic_category());
  }
  written_event_ = event_new(
      base_, written_pipe_[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->OnWritten(); },
      this);
  event_add(written_event_, nullptr);
  store_.Start([fd = written_pipe_[1]] {
    const char byte = 1;
    [[maybe_unused]] const ssize_t told = write(fd, &byte, 1);  // a full pipe tells as well
  });
  return {};
}

ControlCore::Outputs ControlService::CoreOutputs() {
  ControlCore::Outputs outputs;
  outputs.write = [this](ShardWrite write, std::uint64_t token) { store_.Enqueue(std::move(write), token); };
  outputs.exchange = [this](const std::string& address, const ExchangeRequest& request) {
    Exchange(address, request);
  };
  outputs.order = [this](const PlacementCall& order, consensus::Term token) { SendOrder(order, token); };
  outputs.ask_report = [this](const PlacementCall& call) { AskReport(call); };
  return outputs;
}

void ControlService::Reload(const NodeSettings& settings) { core_->SetSeeds(settings.seeds, SteadyMicros()); }

void ControlService::Stop() {
  if (std::exchange(stopping_, true)) return;
  public_api_.StopListening();
  internal_api_.StopListening();
  core_->Stop();
  const auto after = timeval{0, std::chrono::microseconds(kStopAfter).count()};
  event_base_loopexit(base_, &after);
}

void ControlService::Tick() {
  core_->Tick(SteadyMicros());
  client_.CloseIdle(kCloseUnused);
  AwaitOrders();
}

void ControlService::AwaitOrders() {
  const auto due = core_->NextOrderAt();
  if (!due) return;
  const std::int64_t wait = std::max<std::int64_t>(*due - SteadyMicros(), 0);
  if (wait >= kTickEvery.tv_usec) return;
  const timeval after{0, static_cast<suseconds_t>(wait)};
  event_add(orders_due_, &after);
}

void ControlService::OnWritten() {
  char bytes[64];
  while (read(written_pipe_[0], bytes, sizeof bytes) > 0) {
  }
  for (const std::uint64_t token : store_.TakeWritten()) core_->Written(token, SteadyMicros());
}

// ---- Calls of the core ----

void ControlService::Exchange(const std::string& address, const ExchangeRequest& request) {
  const auto done = [this, address](int status, const std::string& body) {
    core_->OnExchangeReply(address, ReadReply(status, body), SteadyMicros());
  };
  client_.Call(address, "POST", kExchangePath, Encode(request), kExchangeSilence, done, {},
               http::BodyType::kBinary);
}

void ControlService::SendOrder(const PlacementCall& order, consensus::Term fencing_token) {
  const bool load = order.kind == PlacementCall::Kind::kLoad;
  json body{{"operation", load ? "load_model" : "unload_model"},
            {"model", order.model},
            {"lease_holder", settings_.node_name},
            {"fencing_token", fencing_token}};
  if (!order.adapter.empty()) body["adapter"] = order.adapter;
  if (order.if_revision) body["if_revision"] = *order.if_revision;
  client_.Call(order.address, "POST", "/api/order", body.dump(), kOrderSilence,
               [this, order, load](int status, const std::string&) {
                 spdlog::debug("order to {}: {} {}/{}: {}", order.instance, load ? "load" : "unload",
                               order.model, order.adapter, status);
                 core_->OrderAnswered(order, status, SteadyMicros());
                 AwaitOrders();
               },
               {{kExpectedInstance, order.instance}});
}

void ControlService::AskReport(const PlacementCall& call) {
  client_.Call(call.address, "GET", "/api/report", {}, kOrderSilence,
               [this, instance = call.instance](int status, const std::string& body) {
                 core_->Reported(instance, ReadReport(instance, status, body), SteadyMicros());
               },
               {{kExpectedInstance, call.instance}});
}

}  // namespace violetwing
