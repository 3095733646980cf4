#include "dataplane/http/http_text.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <set>

namespace violetwing {
namespace {

// Fields that are not forwarded: the hop-by-hop fields, and Content-Length, which is written anew.
constexpr std::string_view kNotForwarded[] = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length"};

}  // namespace

bool FieldNamesEqual(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* FindField(const FieldList& fields, std::string_view name) {
  for (const Field& field : fields)
    if (FieldNamesEqual(field.name, name)) return &field.value;
  return nullptr;
}

FieldList EndToEndFields(const boost::beast::http::fields& fields) {
  // A set, as a client may name as many options as it sends fields.
  std::set<std::string, boost::beast::iless> connection_options;
  const auto [begin, end] = fields.equal_range(boost::beast::http::field::connection);
  for (auto it = begin; it != end; ++it)
    for (const auto token : boost::beast::http::token_list(it->value())) connection_options.emplace(token);
  FieldList out;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    const auto same = [&](std::string_view other) { return FieldNamesEqual(name, other); };
    if (std::any_of(std::begin(kNotForwarded), std::end(kNotForwarded), same)) continue;
    if (connection_options.count(std::string(name)) > 0) continue;
    out.push_back({std::string(name), std::string(field.value().data(), field.value().size())});
  }
  return out;
}

double ParseNumber(const std::string* text, double default_value) {
  if (text == nullptr) return default_value;
  double out = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), out);
  return error == std::errc() && end == text->data() + text->size() ? out : default_value;
}

void AppendField(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace violetwing
