// A call to the platform (the users' page on duties, "Singleton duties").
#ifndef VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_
#define VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_

#include <string>

#include "control/duties/duty.hpp"

namespace violetwing::duties {

/// `POST path` with a JSON body, the holder and its token.
struct PlatformCall {
  Duty duty = Duty::kUsage;
  std::string subject;  ///< tells the caller which of its calls an answer belongs to
  std::string path;
  std::string body;
  FencingToken token = 0;
};

/// What an answer of the platform says.
enum class PlatformAnswer {
  kAccepted,  ///< 2xx
  kRefused,   ///< the platform will not accept this call, however often it is sent
  kRetry,     ///< any other, or none: the call may have been accepted
};

/// The meaning of an HTTP status; 0 stands for no answer. A fencing token that is too low (412) shows that
/// this process should not have called, not that the call was wrong.
constexpr PlatformAnswer PlatformAnswerOf(int http_status) {
  constexpr int kBadRequest = 400;
  constexpr int kUnprocessable = 422;
  if (http_status >= 200 && http_status < 300) return PlatformAnswer::kAccepted;
  if (http_status == kBadRequest || http_status == kUnprocessable) return PlatformAnswer::kRefused;
  return PlatformAnswer::kRetry;
}

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_PLATFORM_CALL_HPP_
