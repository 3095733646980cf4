#include "control_link.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

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

ControlLink::ControlLink(boost::asio::io_context& io, NodeSettings settings,
                         std::function<void(DirectoryPtr)> changed)
    : io_(io),
      settings_(std::move(settings)),
      changed_(std::move(changed)),
      pause_(io),
      guard_(io),
      demand_soon_(io),
      random_(1, settings_.node_name) {}

void ControlLink::Start() { Pull(); }

void ControlLink::Stop() {
  stopped_ = true;
  pause_.cancel();
  guard_.cancel();
  demand_soon_.cancel();
  if (call_ != nullptr) call_->Stop();
}

// Those of the own zone first, then the others that are known, then the seeds.
std::vector<std::string> ControlLink::Candidates() const {
  std::vector<std::string> out;
  const auto add = [&](const std::string& address) {
    if (std::find(out.begin(), out.end(), address) == out.end()) out.push_back(address);
  };
  for (const ControlNode& node : controls_)
    if (node.zone == settings_.zone) add(node.address);
  for (const ControlNode& node : controls_) add(node.address);
  for (const std::string& seed : settings_.seeds) add(settings_.InternalAddressOf(seed));
  return out;
}

void ControlLink::Next(bool failed) {
  if (failed && !target_.empty()) failed_.push_back(target_);
  const std::vector<std::string> candidates = Candidates();
  std::vector<std::string> untried;
  for (const std::string& address : candidates)
    if (std::find(failed_.begin(), failed_.end(), address) == failed_.end()) untried.push_back(address);
  if (untried.empty()) {
    failed_.clear();
    untried = candidates;
  }
  if (untried.empty()) return;
  // Without a list of the control processes, seeds are taken by chance, so that not all sidecars ask the
  // first.
  target_ = controls_.empty() ? untried[random_.Below(untried.size())] : untried.front();
}

void ControlLink::Pull() {
  if (stopped_) return;
  if (target_.empty()) Next(false);
  const auto endpoint = ParseEndpoint(target_);
  if (!endpoint) return OnPulled(0, {});
  PullRequest request;
  request.node = settings_.node_name;
  request.source = source_;
  request.configuration = configuration_ == nullptr ? 0 : configuration_->version;
  request.known = known_;
  request.wait_ms = kWaitMs;
  request.demand = TakeDemand();
  HttpExchange::Call call;
  call.to = *endpoint;
  call.method = "POST";
  call.target = kPullPath;
  call.body = nlohmann::json(request).dump();
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
  bool taken = false;
  if (status == 200) {
    try {
      Take(nlohmann::json::parse(body).get<PullReply>());
      taken = true;
    } catch (const std::exception& error) {
      spdlog::warn("the answer of {} cannot be read: {}", target_, error.what());
    }
  }
  if (taken) {
    failed_.clear();
    boost::asio::post(io_, [this] { Pull(); });
    return;
  }
  Next(true);
  pause_.expires_after(kPauseAfterFailure);
  pause_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Pull();
  });
}

void ControlLink::Take(const PullReply& reply) {
  bool changed = !reply.changed.empty() || reply.number != number_ || reply.sidecars != sidecars_;
  const std::int64_t version = configuration_ == nullptr ? 0 : configuration_->version;
  if (reply.configuration > version && !reply.document.empty()) {
    configuration::ReadResult read = configuration::Read(reply.document);
    if (read.configuration != nullptr) {
      configuration_ = std::move(read.configuration);
      changed = true;
    } else {
      spdlog::error("version {} cannot be read: {}", reply.configuration, ToText(read.findings));
    }
  }
  for (const Instance& instance : reply.changed) Merge(instance);
  for (const auto& [origin, counter] : reply.known) known_[origin] = std::max(known_[origin], counter);
  if (reply.whole) {
    const std::size_t before = instances_.size();
    std::erase_if(instances_, [&](const auto& entry) {
      return std::find(reply.ids.begin(), reply.ids.end(), entry.first) == reply.ids.end();
    });
    changed = changed || instances_.size() != before;
    // Lives of control processes that are over leave nothing behind.
    known_ = reply.known;
  }
  source_ = reply.source;
  controls_ = reply.controls;
  number_ = reply.number;
  sidecars_ = reply.sidecars;
  if (changed) Publish();
}

void ControlLink::Merge(const Instance& instance) {
  const auto it = instances_.find(instance.id);
  if (it == instances_.end()) {
    if (instance.phase != Phase::kGone) instances_[instance.id] = instance;
    return;
  }
  Instance& known = it->second;
  const bool leaves = instance.phase == Phase::kGone || instance.phase == Phase::kDraining;
  if (instance.sequence < known.sequence && !leaves) return;
  // A drain is for good, whichever control process has not heard of it yet.
  const bool left = known.phase == Phase::kGone || known.phase == Phase::kDraining;
  const Phase phase = left ? std::max(known.phase, instance.phase) : instance.phase;
  known = instance;
  known.phase = phase;
}

void ControlLink::Publish() {
  changed_(std::make_shared<const Directory>(configuration_, instances_, number_, sidecars_));
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
  const auto endpoint = ParseEndpoint(target_);
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
