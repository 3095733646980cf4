#include "dataplane/load_balancing/prefill_queue.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// What was sent longer ago has been read, or its server is in trouble, which shows elsewhere.
constexpr Micros kReadWithin = 10'000'000;

Micros ToMicros(double ms) { return static_cast<Micros>(ms * 1000); }

}  // namespace

void PrefillQueue::OnSent(const std::string& server, double ms, Micros now) {
  Server& at = servers_[server];
  at.sent.push_back({now, ms});
  at.read_at = std::max(at.read_at, now) + ToMicros(ms);
}

void PrefillQueue::OnRead(const std::string& server, Micros sent_at, Micros now) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  Server& at = it->second;
  while (!at.sent.empty() && at.sent.front().at <= sent_at) at.sent.pop_front();
  double left_ms = 0;
  for (const Sent& sent : at.sent) left_ms += sent.ms;
  at.read_at = now + ToMicros(left_ms);
}

double PrefillQueue::WaitMs(const std::string& server, Micros now) const {
  const auto it = servers_.find(server);
  if (it == servers_.end() || it->second.read_at <= now) return 0;
  return static_cast<double>(it->second.read_at - now) / 1000;
}

void PrefillQueue::Expire(Micros now) {
  for (auto& [id, server] : servers_)
    while (!server.sent.empty() && now - server.sent.front().at > kReadWithin) server.sent.pop_front();
  std::erase_if(servers_,
                [&](const auto& entry) { return entry.second.sent.empty() && entry.second.read_at <= now; });
}

}  // namespace violetwing
