#include "control/api/http_status.hpp"

namespace violetwing::http {

const char* ReasonPhrase(int status) {
  switch (status) {
    case kOk:
      return "OK";
    case kTemporaryRedirect:
      return "Temporary Redirect";
    case kBadRequest:
      return "Bad Request";
    case kNotFound:
      return "Not Found";
    case kPreconditionFailed:
      return "Precondition Failed";
    case kContentTooLarge:
      return "Content Too Large";
    case kRequestHeaderFieldsTooLarge:
      return "Request Header Fields Too Large";
    case kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Answer";
  }
}

}  // namespace violetwing::http
