#include "control/duties/duty_table.hpp"

#include <algorithm>
#include <utility>

#include "common/utf8.hpp"

namespace violetwing::duties {
namespace {

using nlohmann::json;

// Number of windows whose reports are kept. Reports are due within seconds of their window's end, while these
// windows cover minutes.
constexpr std::size_t kMaxUsageWindows = 64;

}  // namespace

void DutyTable::Apply(const AcquireLease& command) {
  if (!IsUtf8(command.duty) || !IsUtf8(command.holder)) return;
  Lease& lease = leases_[command.duty];
  if (lease.token != command.expected_token || lease.holder == command.holder) return;
  lease.holder = command.holder;
  lease.token = std::max(lease.token + 1, command.minimum_token);
}

void DutyTable::Apply(const RecordUsage& command) {
  if (IsRecorded(command.window)) return;
  UsageCounts counts = command.counts;
  std::erase_if(counts, [](const auto& count) { return !IsUtf8(count.first); });
  usage_[command.window] = {std::move(counts), false};
  if (usage_.size() <= kMaxUsageWindows) return;
  forgotten_up_to_ = usage_.begin()->first;
  usage_.erase(usage_.begin());
}

void DutyTable::Apply(const UsageDelivered& command) {
  const auto window = usage_.find(command.window);
  if (window != usage_.end()) window->second.delivered = true;
}

const Lease* DutyTable::Find(Duty duty) const {
  const auto lease = leases_.find(std::string(Name(duty)));
  return lease == leases_.end() || lease->second.token == 0 ? nullptr : &lease->second;
}

json DutyTable::Save() const {
  json leases = json::object();
  for (const auto& [duty, lease] : leases_) leases[duty] = {{"holder", lease.holder}, {"token", lease.token}};
  json usage = json::array();
  for (const auto& [number, window] : usage_)
    usage.push_back({{"window", number}, {"counts", window.counts}, {"delivered", window.delivered}});
  return {{"leases", leases}, {"usage", usage}, {"forgotten_up_to", forgotten_up_to_}};
}

void DutyTable::Load(const json& saved) {
  leases_.clear();
  usage_.clear();
  for (const auto& [duty, lease] : saved.at("leases").items())
    leases_[duty] = {lease.at("holder").get<std::string>(), lease.at("token").get<FencingToken>()};
  for (const json& window : saved.at("usage"))
    usage_[window.at("window").get<std::int64_t>()] = {window.at("counts").get<UsageCounts>(),
                                                       window.at("delivered").get<bool>()};
  forgotten_up_to_ = saved.at("forgotten_up_to").get<std::int64_t>();
}

}  // namespace violetwing::duties
