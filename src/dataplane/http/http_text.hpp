// Header fields of HTTP messages as the data plane forwards them: in the original order, without hop-by-hop
// fields.
#ifndef VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_
#define VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace violetwing {

/// One header field.
struct Field {
  std::string name;
  std::string value;
};
/// Header fields in the order of the message.
using FieldList = std::vector<Field>;

/// Compares field names, ignoring case.
bool FieldNamesEqual(std::string_view a, std::string_view b);
/// Returns the value of the first field of that name, or null.
const std::string* FindField(const FieldList& fields, std::string_view name);
/// The end-to-end fields of a message: without hop-by-hop fields and those named in Connection (RFC 9110,
/// section 7.6.1), and without Content-Length, which is written anew.
FieldList EndToEndFields(const boost::beast::http::fields& fields);
/// Parses a decimal number such as "300" or "0.25". Returns `default_value` if `text` is null or not a
/// number.
double ParseNumber(const std::string* text, double default_value);

/// Appends "name: value" and CRLF to `head`.
void AppendField(std::string& head, std::string_view name, std::string_view value);

// Names of the header fields that the system reads or sets, as documented for users in PROTOCOL.md.
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
inline constexpr std::string_view kAuthorization = "Authorization";
inline constexpr std::string_view kTenant = "X-Violetwing-Tenant";
}  // namespace field

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_HTTP_HTTP_TEXT_HPP_
