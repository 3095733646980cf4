#include "registry/agent/shell.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "registry/json.hpp"

namespace violetwing::registry {
namespace {

// A registry commits within milliseconds; one that takes longer is asked again, or another one.
constexpr std::chrono::milliseconds kAnswerWithin(1000);

const char* Name(LeaseCore::Ask ask) {
  return ask == LeaseCore::Ask::kPut ? "put" : ask == LeaseCore::Ask::kRenew ? "renew" : "deregister";
}

LeaseCore::Settings With(LeaseCore::Settings settings, std::size_t registries) {
  settings.registries = registries;
  return settings;
}

}  // namespace

LeaseHolder::LeaseHolder(boost::asio::io_context& io, std::vector<Endpoint> registries, Entry entry,
                         LeaseCore::Settings settings, std::uint64_t seed, Events events)
    : io_(io),
      registries_(std::move(registries)),
      entry_(std::move(entry)),
      core_(With(settings, registries_.size()), seed),
      events_(std::move(events)),
      timer_(io) {
  entry_.term = settings.term;
}

LeaseHolder::~LeaseHolder() {
  if (call_ != nullptr) call_->Stop();
}

Micros LeaseHolder::Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

void LeaseHolder::Want(LeaseCore::Wanted wanted) {
  core_.Want(Now(), wanted);
  if (call_ == nullptr) Step();
}

void LeaseHolder::Step() {
  const auto ask = core_.Due(Now());
  if (core_.ended()) {
    if (*core_.ended() != 0) Say(core_.why());
    timer_.cancel();
    if (events_.on_end) events_.on_end(*core_.ended());  // the last thing: it may be the end of this one
    return;
  }
  if (ask) return Call(*ask);
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(core_.next() - Now(), 0)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Step();
  });
}

void LeaseHolder::Call(LeaseCore::Ask ask) {
  HttpExchange::Call call;
  call.to = registries_[core_.registry()];
  call.method = "POST";
  call.idle_timeout = kAnswerWithin;
  if (ask == LeaseCore::Ask::kRenew) {
    call.target = "/v1/renewals";
    call.body = nlohmann::json({{"renewals", {{{"id", entry_.id}, {"holder", entry_.holder}}}}}).dump();
  } else {
    call.target = "/v1/writes";
    nlohmann::ordered_json operation = {{"do", "deregister"}, {"id", entry_.id}, {"holder", entry_.holder}};
    if (ask == LeaseCore::Ask::kPut) {
      entry_.lifecycle = core_.lifecycle();
      operation = {{"do", "register"}, {"entry", ToStored(entry_)}};
    }
    call.body = nlohmann::ordered_json({{"operations", nlohmann::ordered_json::array({operation})}}).dump();
  }
  answer_.clear();
  HttpExchange::Events events;
  events.on_line = [this](const std::string& line) { answer_ = line; };
  events.on_end = [this, ask](int status, const std::string& why) { OnEnd(ask, status, why); };
  call_ = HttpExchange::Start(io_, std::move(call), std::move(events));
}

LeaseCore::Heard LeaseHolder::Understand(LeaseCore::Ask ask, int status,
                                         std::optional<std::size_t>& go_to) const {
  using Heard = LeaseCore::Heard;
  const auto json = nlohmann::json::parse(answer_, nullptr, /*allow_exceptions=*/false);
  const auto lists = [&](const char* key) {
    return json.is_object() && json.contains(key) && json.at(key).is_array() && !json.at(key).empty();
  };
  if (status == 200 && ask == LeaseCore::Ask::kRenew && lists("unknown")) return Heard::kUnknown;
  if (status == 200 && ask == LeaseCore::Ask::kRenew && lists("conflict")) return Heard::kConflict;
  if (status == 200) return Heard::kDone;
  if (status == 400) return Heard::kRefused;
  if (status == 404) return Heard::kUnknown;
  if (status == 409) return Heard::kConflict;
  if (status != 421) return Heard::kNobody;
  if (json.is_object() && json.contains("primary") && json.at("primary").is_string()) {
    const auto primary = ParseEndpoint(json.at("primary").get<std::string>());
    const auto it = primary ? std::find(registries_.begin(), registries_.end(), *primary) : registries_.end();
    if (it != registries_.end()) go_to = static_cast<std::size_t>(it - registries_.begin());
  }
  return Heard::kElsewhere;
}

void LeaseHolder::OnEnd(LeaseCore::Ask ask, int status, const std::string& why) {
  call_ = nullptr;
  std::optional<std::size_t> go_to;
  const auto heard = why.empty() ? Understand(ask, status, go_to) : LeaseCore::Heard::kNobody;
  if (heard == LeaseCore::Heard::kDone && ask != LeaseCore::Ask::kDeregister) registered_ = true;
  const std::string what = status == 200 && heard == LeaseCore::Heard::kDone ? "done"
                           : why.empty() ? "answered with " + std::to_string(status)
                                         : why;
  if (ask != LeaseCore::Ask::kRenew || heard != LeaseCore::Heard::kDone)
    Say(std::string(Name(ask)) + " at " + ToText(registries_[core_.registry()]) + ": " + what);
  core_.OnAnswer(Now(), ask, heard, go_to);
  Step();
}

void LeaseHolder::Say(const std::string& what) {
  if (events_.on_event && std::exchange(said_, what) != what) events_.on_event(what);
}

}  // namespace violetwing::registry
