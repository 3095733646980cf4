// The attributes of a request that the load balancer uses: model, prompt and the servers already attempted.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_REQUEST_ATTRIBUTES_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_REQUEST_ATTRIBUTES_HPP_

#include <algorithm>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "dataplane/load_balancing/prompt_parts.hpp"

namespace violetwing {

/// Attributes of one request. The first group is set once by the router, the second by
/// LoadBalancer::OnSent for the current attempt.
struct RequestAttributes {
  std::string model;    ///< empty for services without models
  std::string adapter;  ///< empty for the base model
  /// Parts of the prompt in order; null if the request does not give them. Not owned.
  const std::vector<PromptPart>* prompt_parts = nullptr;
  double prompt_tokens = 0;                    ///< number of tokens of the complete prompt
  std::vector<std::string> attempted_servers;  ///< ids of the instances that this request was sent to

  double uncached_prompt_tokens = 0;  ///< tokens that the server is expected to prefill
  double uncached_prefill_ms = 0;     ///< expected time to prefill them
  double queued_prefill_ms = 0;       ///< expected time of the prefills queued before this one
  Micros sent_at = 0;                 ///< steady clock time

  /// "model" or "model/adapter": identifies the weights that a server must have loaded.
  std::string WeightsKey() const { return adapter.empty() ? model : model + "/" + adapter; }
  /// True if the request gives at least one prompt part.
  bool HasPromptParts() const { return prompt_parts != nullptr && !prompt_parts->empty(); }
  /// True if this request was already sent to the instance.
  bool HasAttempted(const std::string& id) const {
    return std::find(attempted_servers.begin(), attempted_servers.end(), id) != attempted_servers.end();
  }
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_REQUEST_ATTRIBUTES_HPP_
