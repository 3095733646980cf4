#include "control/api/evhttp_message.hpp"

#include <event2/buffer.h>

namespace violetwing::http {
namespace {

struct Method {
  evhttp_cmd_type type;
  const char* name;
};
constexpr Method kMethods[] = {{EVHTTP_REQ_GET, "GET"},
                               {EVHTTP_REQ_POST, "POST"},
                               {EVHTTP_REQ_PUT, "PUT"},
                               {EVHTTP_REQ_DELETE, "DELETE"},
                               {EVHTTP_REQ_PATCH, "PATCH"}};

}  // namespace

std::string MethodName(evhttp_cmd_type type) {
  for (const Method& method : kMethods)
    if (method.type == type) return method.name;
  return {};
}

evhttp_cmd_type MethodType(const std::string& name) {
  for (const Method& method : kMethods)
    if (name == method.name) return method.type;
  return EVHTTP_REQ_GET;
}

const char* ContentType(BodyType type) {
  return type == BodyType::kJson ? "application/json" : "application/octet-stream";
}

std::string TakeBody(evhttp_request* request) {
  evbuffer* in = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(in);
  std::string body(size, '\0');
  if (size > 0) evbuffer_remove(in, body.data(), size);
  return body;
}

}  // namespace violetwing::http
