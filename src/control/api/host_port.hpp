// Addresses of the form host:port.
#ifndef VIOLETWING_CONTROL_API_HOST_PORT_HPP_
#define VIOLETWING_CONTROL_API_HOST_PORT_HPP_

#include <cstdint>
#include <optional>
#include <string>

namespace violetwing::http {

/// A parsed address.
struct HostPort {
  std::string host;        ///< not empty; a name or an IP address
  std::uint16_t port = 0;  ///< 1 to 65535
};

/// Parses "10.0.0.1:80"; empty if the text does not have this form.
std::optional<HostPort> ParseHostPort(const std::string& address);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HOST_PORT_HPP_
