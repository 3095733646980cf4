#include "balancer/settings.hpp"

namespace violetwing::balancer {

std::string WhatIsWrong(const Settings& settings) {
  std::string error;
  if (settings.classes.empty()) error = "no request classes";
  for (const RequestClass& c : settings.classes) {
    if (c.aim < 0 || c.deadline < 0 || c.dedup_window < 0) error = "negative time in class " + c.name;
    if (c.repeat < Repeat::kSafe || c.repeat > Repeat::kNever)
      error = "unknown repeat kind in class " + c.name;
    if (c.group < DedupGroup::kAll || c.group > DedupGroup::kCell) error = "unknown group in class " + c.name;
    if (!(c.worth >= 0)) error = "negative worth in class " + c.name;
  }
  if (settings.max_attempts < 1) error = "max_attempts under 1";
  if (settings.siblings < 1 || settings.rank >= settings.siblings)
    error = "rank outside the number of sidecars";
  if (!(settings.cold_share > 0 && settings.cold_share <= 1)) error = "cold_share outside (0, 1]";
  if (!(settings.overload_factor > 0)) error = "overload_factor not above 0";
  if (settings.warm_after < 0 || settings.drain_grace < 0 || settings.fall_window < 0 || settings.tick < 0 ||
      settings.ask_within < 0 || settings.max_retry_after < 0 || settings.settle_after_doubt < 0)
    error = "negative time";
  return error;
}

}  // namespace violetwing::balancer
