#include "registry/peers.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "registry/json.hpp"

namespace violetwing::registry {
namespace {

constexpr std::chrono::milliseconds kAskEvery(1000);
constexpr std::chrono::milliseconds kAnswerWithin(900);
constexpr std::chrono::microseconds kSilence(4'500'000);  // a watch says an empty line each 2 s
// Before a watch is opened again, doubled each time: what is not taken may be a whole list, and come again.
constexpr int kFirstWaitMs = 100;
constexpr int kMostWaitMs = 3000;

}  // namespace

Standing ParseStanding(const std::string& status) {
  const auto json = nlohmann::json::parse(status, nullptr, /*allow_exceptions=*/false);
  try {
    Standing out;
    out.name = json.at("name").get<std::string>();
    const auto role = json.at("role").get<std::string>();
    for (const Role one : {Role::kAsking, Role::kPrimary, Role::kFollower})
      if (role == Name(one)) out.role = one;
    out.generation = json.at("generation").get<std::int64_t>();
    out.began_from = json.at("began_from").get<std::int64_t>();
    out.path = json.at("path").get<std::vector<std::string>>();
    out.stale = json.at("stale_ms").get<std::int64_t>() * 1000;
    return out;
  } catch (const nlohmann::json::exception& error) {
    throw JsonError(std::string("no registry's status: ") + error.what());
  }
}

Peers::Peers(boost::asio::io_context& io, std::vector<Endpoint> others, RoleCore& core, Events events)
    : io_(io),
      core_(core),
      events_(std::move(events)),
      asks_(io),
      reopens_(io),
      random_(std::random_device()()) {
  for (Endpoint& address : others) others_.push_back({std::move(address), nullptr});
}

Peers::~Peers() {
  for (const Other& other : others_)
    if (other.asking != nullptr) other.asking->Stop();
  if (watch_ != nullptr) watch_->Stop();
}

void Peers::Start() { AskAll(); }

void Peers::AskAll() {
  for (std::size_t i = 0; i < others_.size(); ++i) Ask(i);
  asks_.expires_after(kAskEvery);
  asks_.async_wait([this](boost::system::error_code error) {
    if (!error) AskAll();
  });
}

void Peers::Ask(std::size_t other) {
  if (others_[other].asking != nullptr) others_[other].asking->Stop();
  HttpExchange::Call call;
  call.to = others_[other].address;
  call.target = "/v1/status";
  call.idle_timeout = kAnswerWithin;
  HttpExchange::Events events;
  events.on_line = [this, other](const std::string& line) {
    try {
      core_.OnStanding(events_.now(), other, ParseStanding(line), events_.generation());
    } catch (const JsonError& error) {
      events_.on_trouble(error.what(), ToText(others_[other].address));
    }
  };
  events.on_end = [this, other](int, const std::string& why) {
    others_[other].asking = nullptr;
    if (!why.empty()) core_.OnSilence(other);
    events_.on_heard();
  };
  others_[other].asking = HttpExchange::Start(io_, std::move(call), std::move(events));
}

void Peers::Follow() {
  if (core_.upstream() == watched_) return;
  watched_ = core_.upstream();
  failures_ = 0;
  if (watch_ != nullptr) std::exchange(watch_, nullptr)->Stop();
  reopens_.cancel();
  if (watched_) OpenWatch();
}

void Peers::OpenWatch() {
  HttpExchange::Call call;
  call.to = others_[*watched_].address;
  call.target = "/v1/replica?stream=1&index=" + std::to_string(events_.generation());
  call.idle_timeout = kSilence;
  HttpExchange::Events events;
  events.on_line = [this](const std::string& line) {
    try {
      if (events_.on_replica(ParseReplica(line))) {
        failures_ = 0;
      } else if (watch_ != nullptr) {
        std::exchange(watch_, nullptr)->Stop();
        Reopen();
      }
    } catch (const JsonError& error) {
      events_.on_trouble(error.what(), ToText(others_[*watched_].address));
    }
  };
  events.on_end = [this](int, const std::string& why) { OnWatchEnd(why); };
  watch_ = HttpExchange::Start(io_, std::move(call), std::move(events));
}

void Peers::OnWatchEnd(const std::string& why) {
  events_.on_trouble(why.empty() ? "the watch ended" : why, ToText(others_[*watched_].address));
  watch_ = nullptr;
  Reopen();
}

void Peers::Reopen() {
  const int most = std::min(kFirstWaitMs << std::min(failures_++, 10), kMostWaitMs);
  reopens_.expires_after(
      std::chrono::milliseconds(std::uniform_int_distribution<int>(most / 2, most)(random_)));
  reopens_.async_wait([this](boost::system::error_code error) {
    if (!error && watched_ && watch_ == nullptr) OpenWatch();
  });
}

}  // namespace violetwing::registry
