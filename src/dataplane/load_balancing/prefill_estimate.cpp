#include "dataplane/load_balancing/prefill_estimate.hpp"

namespace violetwing {
namespace {

constexpr double kDefaultMsPerToken = 0.034;
constexpr double kMinSampleTokens = 2000;
// Factor by which the weight of all older samples is multiplied with each new one.
constexpr double kSampleDecay = 0.9;
// A prefill that takes a smaller fraction of the expected time means that part of the prompt was cached.
constexpr double kMinPlausibleFraction = 0.15;

}  // namespace

double PrefillEstimate::MsPerToken(const std::string& model) const {
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? kDefaultMsPerToken : it->second.ms / it->second.tokens;
}

void PrefillEstimate::OnFirstByte(const RequestAttributes& attributes, Micros now) {
  const double waited_ms = static_cast<double>(now - attributes.sent_at) / 1000;
  if (attributes.uncached_prompt_tokens < kMinSampleTokens) return;
  if (waited_ms < 2 * attributes.queued_prefill_ms) return;
  const double prefill_ms = waited_ms - attributes.queued_prefill_ms;
  if (prefill_ms < kMinPlausibleFraction * attributes.uncached_prefill_ms) return;
  Sums& sums = by_model_[attributes.model];
  sums.ms = sums.ms * kSampleDecay + prefill_ms;
  sums.tokens = sums.tokens * kSampleDecay + attributes.uncached_prompt_tokens;
}

}  // namespace violetwing
