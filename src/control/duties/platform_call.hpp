// A call to the platform (specified in the users' page on duties, "Singleton duties").
#ifndef VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_
#define VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_

#include <string>

#include "control/duties/duty.hpp"

namespace violetwing::duties {

/// A `POST` of a JSON body to `path`, sent with the name of the lease holder and its fencing token.
struct PlatformCall {
  Duty duty = Duty::kUsage;
  std::string subject;  ///< identifies the call, so that the caller can match its answer
  std::string path;
  std::string body;
  FencingToken token = 0;
};

/// The outcome of a call to the platform.
enum class PlatformAnswer {
  kAccepted,  ///< 2xx
  kRejected,  ///< 400 or 422: permanent; the platform rejects this call, however often it is sent
  kRetry,     ///< any other status, or no answer: the call may have been accepted
};

/// Returns the outcome for an HTTP status; 0 stands for no answer. A fencing token that is too low (412)
/// counts as kRetry: it shows that this process was not entitled to make the call, not that the call was
/// invalid.
constexpr PlatformAnswer PlatformAnswerOf(int http_status) {
  constexpr int kBadRequest = 400;
  constexpr int kUnprocessable = 422;
  if (http_status >= 200 && http_status < 300) return PlatformAnswer::kAccepted;
  if (http_status == kBadRequest || http_status == kUnprocessable) return PlatformAnswer::kRejected;
  return PlatformAnswer::kRetry;
}

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_
