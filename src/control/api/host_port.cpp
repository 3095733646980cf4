#include "control/api/host_port.hpp"

#include <charconv>

namespace violetwing::http {

std::optional<HostPort> ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  HostPort out{address.substr(0, colon), 0};
  const char* const last = address.data() + address.size();
  const auto [end, error] = std::from_chars(address.data() + colon + 1, last, out.port);
  if (error != std::errc() || end != last || out.port == 0) return std::nullopt;
  return out;
}

}  // namespace violetwing::http
