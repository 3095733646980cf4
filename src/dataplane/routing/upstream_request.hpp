// The header fields by which the sidecar and the servers talk about one request, and its text to a server.
#ifndef VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_

#include <cstdint>
#include <string>

#include "dataplane/ingress/client_connection.hpp"
#include "dataplane/load_balancing/upstream_server_state.hpp"

namespace violetwing {

/// What a server is told of the client's identity.
struct UpstreamIdentity {
  bool withholds_credentials = false;  ///< the key is for the system alone: Authorization is left out
  std::string tenant;                  ///< empty for none
};

/// Head and body of the request as it is sent to an instance: the client's, with the deadline set to
/// `remaining_ms` (at least 1), the expected instance named, and the tenant that the system has found in
/// place of any that the client names.
std::string BuildUpstreamRequest(const ClientRequest& request, const std::string& instance_id,
                                 std::int64_t remaining_ms, const UpstreamIdentity& identity);

/// Parses X-Violetwing-Server-Load, "running,waiting,slots"; what is missing or malformed stays 0.
ServerLoad ParseServerLoad(const std::string& text);

/// Token counts of a request from X-Violetwing-Token-Count, "prompt,max_output".
struct TokenCounts {
  double prompt = 0;
  double max_output = 0;

  /// Cost of prefill and decode together, in prefilled tokens.
  double PrefillEquivalent() const;
};

/// What is missing or malformed stays 0.
TokenCounts ParseTokenCounts(const std::string& text);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_
