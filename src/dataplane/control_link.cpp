#include "control_link.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/steady_time.hpp"

namespace violetwing {
namespace {

using std::chrono::milliseconds;

// How long a pull waits for news at the control process.
constexpr int kWaitMs = 400;
// Without an answer for so long, the process or the way to it is taken for broken.
constexpr milliseconds kSilence{kWaitMs + 300};
constexpr milliseconds kPauseAfterFailure{100};
// What is waited for is reported after so long, together with what else comes by then.
constexpr milliseconds kDemandAfter{3};

}  // namespace

ControlLink::ControlLink(boost::asio::io_context& io, const NodeSettings& settings,
                         std::function<void(DirectoryPtr)> changed)
    : io_(io),
      changed_(std::move(changed)),
      pause_(io),
      guard_(io),
      demand_soon_(io),
      view_(settings.node_name, settings.InternalAddress()),
      choice_(settings.zone, settings.node_name) {
  Reload(settings);
}

void ControlLink::Reload(const NodeSettings& settings) {
  std::vector<std::string> seeds;
  for (const std::string& seed : settings.seeds) seeds.push_back(settings.InternalAddressOf(seed));
  choice_.SetSeeds(std::move(seeds));
}

void ControlLink::Start() { Pull(); }

void ControlLink::Stop() {
  stopped_ = true;
  pause_.cancel();
  guard_.cancel();
  demand_soon_.cancel();
  if (call_ != nullptr) call_->Stop();
}

void ControlLink::Pull() {
  if (stopped_) return;
  const auto endpoint = ParseEndpoint(choice_.Current(view_.controls()));
  if (!endpoint) return OnPulled(0, {});
  HttpExchange::Call call;
  call.to = *endpoint;
  call.method = "POST";
  call.target = kPullPath;
  call.body = nlohmann::json(view_.NextPull(kWaitMs, TakeDemand())).dump();
  call.silence = kSilence;
  answer_.clear();
  HttpExchange::Events events;
  events.on_line = [this](const std::string& line) { answer_ += line; };
  events.on_end = [this](int status, const std::string& why) {
    guard_.cancel();
    OnPulled(why.empty() ? status : 0, answer_);
  };
  call_ = HttpExchange::Start(io_, std::move(call), std::move(events));
  // Bounds the whole call: an answer that drips in would keep each single wait short.
  guard_.expires_after(2 * kSilence);
  guard_.async_wait([this](const boost::system::error_code& error) {
    if (error || stopped_) return;
    call_->Stop();
    OnPulled(0, {});
  });
}

void ControlLink::OnPulled(int status, const std::string& body) {
  if (stopped_) return;
  if (status == 200 && Take(body)) {
    choice_.OnAnswered(view_.controls(), SteadyMicros());
    boost::asio::post(io_, [this] { Pull(); });
    return;
  }
  choice_.OnFailed(view_.controls(), SteadyMicros());
  pause_.expires_after(kPauseAfterFailure);
  pause_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Pull();
  });
}

bool ControlLink::Take(const std::string& body) {
  try {
    if (view_.Take(nlohmann::json::parse(body).get<PullReply>())) changed_(view_.MakeDirectory());
    return true;
  } catch (const std::exception& error) {
    spdlog::warn("the answer of {} cannot be read: {}", choice_.Current(view_.controls()), error.what());
    return false;
  }
}

// ---- Demand ----

void ControlLink::CountDemand(const ModelDemand& demand, bool urgent) {
  ModelDemand& sum = demand_[{demand.backend, demand.model}];
  sum.backend = demand.backend;
  sum.model = demand.model;
  sum.requests += demand.requests;
  sum.tokens += demand.tokens;
  sum.waiting += demand.waiting;
  if (!urgent || std::exchange(demand_pending_, true)) return;
  demand_soon_.expires_after(kDemandAfter);
  demand_soon_.async_wait([this](const boost::system::error_code& error) {
    demand_pending_ = false;
    if (!error && !stopped_) SendDemand();
  });
}

std::vector<ModelDemand> ControlLink::TakeDemand() {
  std::vector<ModelDemand> out;
  for (auto& [key, sum] : demand_) out.push_back(std::move(sum));
  demand_.clear();
  return out;
}

void ControlLink::SendDemand() {
  const auto endpoint = ParseEndpoint(choice_.Current(view_.controls()));
  if (!endpoint || demand_.empty()) return;
  HttpExchange::Call call;
  call.to = *endpoint;
  call.method = "POST";
  call.target = kDemandPath;
  call.body = nlohmann::json(TakeDemand()).dump();
  call.silence = kSilence;
  HttpExchange::Start(io_, std::move(call), {nullptr, [](int, const std::string&) {}});
}

}  // namespace violetwing
