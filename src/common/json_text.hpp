// Serialization of JSON that holds text of other programs.
#ifndef VIOLETWING_COMMON_JSON_TEXT_HPP_
#define VIOLETWING_COMMON_JSON_TEXT_HPP_

#include <nlohmann/json.hpp>
#include <string>

namespace violetwing {

/// Serializes `value` on one line. Unlike `value.dump()`, it does not throw on text that is not UTF-8: such
/// bytes are replaced by U+FFFD. Recurses as deep as `value` nests.
inline std::string ToJsonText(const nlohmann::json& value) {
  constexpr int kOneLine = -1;
  return value.dump(kOneLine, ' ', /*ensure_ascii=*/false, nlohmann::json::error_handler_t::replace);
}

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_JSON_TEXT_HPP_
