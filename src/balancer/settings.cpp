#include "balancer/settings.hpp"

namespace violetwing::balancer {

std::string ValidateSettings(const Settings& settings) {
  std::string error;
  if (settings.classes.empty()) error = "no request classes";
  for (const RequestClass& c : settings.classes) {
    if (c.latency_target < 0 || c.deadline < 0 || c.dedup_window < 0)
      error = "negative time in class " + c.name;
    if (c.retry_safety < RetrySafety::kSafe || c.retry_safety > RetrySafety::kNever)
      error = "unknown repeat kind in class " + c.name;
    if (c.group < DedupGroup::kAll || c.group > DedupGroup::kCell) error = "unknown group in class " + c.name;
    if (!(c.value >= 0)) error = "negative value in class " + c.name;
  }
  if (settings.max_attempts < 1) error = "max_attempts is below 1";
  if (settings.sidecar_count < 1 || settings.rank >= settings.sidecar_count)
    error = "rank is not below the number of sidecars";
  if (!(settings.cold_share > 0 && settings.cold_share <= 1)) error = "cold_share is not in (0, 1]";
  if (!(settings.overload_factor > 0)) error = "overload_factor is not above 0";
  if (settings.warm_after < 0 || settings.drain_grace < 0 || settings.overload_window < 0 ||
      settings.tick < 0 || settings.max_subscribe_delay < 0 || settings.max_retry_after < 0 ||
      settings.sequential_settle_time < 0)
    error = "negative time";
  return error;
}

}  // namespace violetwing::balancer
