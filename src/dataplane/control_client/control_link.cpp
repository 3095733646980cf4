#include "dataplane/control_client/control_link.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "common/http_client.hpp"
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
      demand_soon_(io),
      pulls_(io, kSilence),
      reports_(io, kSilence),
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
  demand_soon_.cancel();
  pulls_.Stop();
  reports_.Stop();
}

void ControlLink::Pull() {
  if (stopped_) return;
  const auto endpoint = ParseEndpoint(choice_.Current(view_.controls()));
  if (!endpoint) return OnWatched(0, {});
  pulls_.Post(*endpoint, kWatchPath, Encode(view_.NextPull(kWaitMs, TakeDemand())),
              [this](int status, const std::string& body) { OnWatched(status, body); });
}

void ControlLink::OnWatched(int status, const std::string& body) {
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
  const auto reply = Decode<WatchReply>(body);
  if (!reply) {
    spdlog::warn("the answer of {} cannot be read", choice_.Current(view_.controls()));
    return false;
  }
  try {
    if (view_.Take(*reply)) changed_(view_.MakeDirectory());
    return true;
  } catch (const std::exception& error) {  // a configuration of another form than ours
    spdlog::warn("the answer of {} cannot be taken: {}", choice_.Current(view_.controls()), error.what());
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
  demand_urgent_ = demand_urgent_ || urgent;
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
  demand_urgent_ = false;
  return out;
}

void ControlLink::SendDemand() {
  const auto endpoint = ParseEndpoint(choice_.Current(view_.controls()));
  if (!endpoint || demand_.empty()) return;
  // What comes meanwhile goes with the next report, or with the next pull.
  if (reports_.busy()) return;
  reports_.Post(*endpoint, kDemandPath, Encode(TakeDemand()), [this](int, const std::string&) {
    if (!demand_.empty() && std::exchange(demand_urgent_, false)) SendDemand();
  });
}

}  // namespace violetwing
