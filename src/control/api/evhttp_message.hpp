// Conversions between evhttp's messages and those of messages.hpp, for the server and the client.
#ifndef VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_
#define VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_

#include <event2/http.h>

#include <string>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// The name of an HTTP method; empty for a method that control processes do not use.
std::string MethodName(evhttp_cmd_type type);
/// The inverse of MethodName; EVHTTP_REQ_GET for an unknown name.
evhttp_cmd_type MethodType(const std::string& name);

/// The value of the Content-Type header for a body of this type.
const char* ContentType(BodyType type);

/// Removes and returns the received body: that of the request on the server, that of the response on the
/// client.
std::string TakeBody(evhttp_request* request);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_EVHTTP_MESSAGE_HPP_
