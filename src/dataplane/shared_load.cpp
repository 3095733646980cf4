#include "shared_load.hpp"

namespace violetwing {
namespace {

// What was told longer ago counts no more: its sender may be gone, or the report that ended it may be lost.
constexpr SharedLoad::Micros kCountsFor = 2'500'000;
// A sender that was silent for so long may have started anew and count its reports from the beginning.
constexpr SharedLoad::Micros kSameLifeFor = 1'000'000;

}  // namespace

bool SharedLoad::Take(const LoadReport& report, Micros now) {
  if (report.node.empty()) return false;
  for (const ServerWork& work : report.work)
    if (work.in_flight < 0 || !(work.unread_tokens >= 0)) return false;
  Sender& sender = senders_[report.node];
  if (report.sequence <= sender.sequence && now - sender.heard_at < kSameLifeFor) return false;
  sender = {report.sequence, now};
  for (const ServerWork& work : report.work) {
    if (work.in_flight > 0)
      work_[work.server][report.node] = {work.in_flight, work.unread_tokens, now};
    else if (const auto it = work_.find(work.server); it != work_.end())
      it->second.erase(report.node);
  }
  return true;
}

SharedLoad::Sum SharedLoad::At(const std::string& server, Micros now) const {
  Sum sum;
  const auto it = work_.find(server);
  if (it == work_.end()) return sum;
  for (const auto& [sender, work] : it->second) {
    if (now - work.told_at > kCountsFor) continue;
    sum.in_flight += work.in_flight;
    sum.unread_tokens += work.unread_tokens;
  }
  return sum;
}

void SharedLoad::Expire(Micros now) {
  for (auto& [server, by_sender] : work_)
    std::erase_if(by_sender, [&](const auto& entry) { return now - entry.second.told_at > kCountsFor; });
  std::erase_if(work_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(senders_, [&](const auto& entry) { return now - entry.second.heard_at > kCountsFor; });
}

}  // namespace violetwing
