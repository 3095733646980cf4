#include "dataplane/load_balancing/prefill_queue.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// An older prompt has been prefilled, or its server is faulty, which outlier detection handles.
constexpr Micros kMaxPrefillAge = 10'000'000;

Micros ToMicros(double ms) { return static_cast<Micros>(ms * 1000); }

}  // namespace

void PrefillQueue::Enqueue(const std::string& server_id, double prefill_ms, Micros now) {
  Server& server = servers_[server_id];
  server.prompts.push_back({now, prefill_ms});
  server.done_at = std::max(server.done_at, now) + ToMicros(prefill_ms);
}

void PrefillQueue::OnPrefillDone(const std::string& server_id, Micros sent_at, Micros now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) return;
  Server& server = it->second;
  while (!server.prompts.empty() && server.prompts.front().sent_at <= sent_at) server.prompts.pop_front();
  double remaining_ms = 0;
  for (const QueuedPrompt& prompt : server.prompts) remaining_ms += prompt.prefill_ms;
  server.done_at = now + ToMicros(remaining_ms);
}

double PrefillQueue::RemainingMs(const std::string& server_id, Micros now) const {
  const auto it = servers_.find(server_id);
  if (it == servers_.end() || it->second.done_at <= now) return 0;
  return static_cast<double>(it->second.done_at - now) / 1000;
}

void PrefillQueue::RemoveExpired(Micros now) {
  for (auto& [id, server] : servers_)
    while (!server.prompts.empty() && now - server.prompts.front().sent_at > kMaxPrefillAge)
      server.prompts.pop_front();
  std::erase_if(servers_, [&](const auto& entry) {
    return entry.second.prompts.empty() && entry.second.done_at <= now;
  });
}

}  // namespace violetwing
