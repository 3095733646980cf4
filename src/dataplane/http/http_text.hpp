// Heads of HTTP messages as the data plane passes them on: fields in their order, without those that concern
// one connection only.
#ifndef VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_
#define VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace violetwing {

struct Field {
  std::string name;
  std::string value;
};
using FieldList = std::vector<Field>;

bool SameName(std::string_view a, std::string_view b);
// Null if there is none.
const std::string* FindField(const FieldList& fields, std::string_view name);
// The fields of a message that are passed on: not those of the connection, nor those that it names.
FieldList EndToEnd(const boost::beast::http::fields& fields);
// "300" or "0.25" in its units; `otherwise` if it is anything else.
double ParseNumber(const std::string* text, double otherwise);

void AppendField(std::string& head, std::string_view name, std::string_view value);

// Names of the fields that the system reads or sets.
namespace field {
inline constexpr std::string_view kRequestId = "X-Violetwing-Request-Id";
inline constexpr std::string_view kDeadline = "X-Violetwing-Deadline-Ms";
inline constexpr std::string_view kExpectedInstance = "X-Violetwing-Expected-Instance";
inline constexpr std::string_view kSignature = "X-Violetwing-Response-Signature";
inline constexpr std::string_view kNotExecuted = "X-Violetwing-Not-Executed";
inline constexpr std::string_view kServerLoad = "X-Violetwing-Server-Load";
inline constexpr std::string_view kModel = "X-Violetwing-Model";
inline constexpr std::string_view kTokenCount = "X-Violetwing-Token-Count";
inline constexpr std::string_view kPromptPrefix = "X-Violetwing-Prompt-Prefix";
inline constexpr std::string_view kLastEventId = "Last-Event-Id";
inline constexpr std::string_view kPriority = "Priority";
}  // namespace field

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_
