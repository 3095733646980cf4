// Conversions between evhttp's messages and ours, for the server and the client.
#ifndef VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_
#define VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_

#include <event2/http.h>

#include <string>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// The name of a method; empty for one that the control process does not use.
std::string MethodName(evhttp_cmd_type type);
/// The inverse; EVHTTP_REQ_GET for an unknown name.
evhttp_cmd_type MethodType(const std::string& name);

/// The value of the Content-Type header.
const char* ContentType(BodyType type);

/// Takes the body that was received with this request, or with its response on the client's side.
std::string TakeBody(evhttp_request* request);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_
