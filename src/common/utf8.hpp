// Checks of text that other programs send.
#ifndef VIOLETWING_COMMON_UTF8_HPP_
#define VIOLETWING_COMMON_UTF8_HPP_

#include <boost/locale/utf.hpp>
#include <string_view>

namespace violetwing {

/// Returns whether `text` is UTF-8 (RFC 3629). JSON can represent no other text.
inline bool IsUtf8(std::string_view text) {
  for (auto next = text.begin(); next != text.end();)
    if (!boost::locale::utf::is_valid_codepoint(
            boost::locale::utf::utf_traits<char>::decode(next, text.end())))
      return false;
  return true;
}

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_UTF8_HPP_
