// The text of a request as it is sent to a server, and parsers of the header fields that describe a request
// or the load of a server.
#ifndef VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_

#include <cstdint>
#include <string>

#include "dataplane/ingress/client_connection.hpp"
#include "dataplane/load_balancing/upstream_server_state.hpp"

namespace violetwing {

/// The client's identity as it is passed to a server.
struct UpstreamIdentity {
  bool strip_credentials = false;  ///< the key is meant for the sidecar only: Authorization is not forwarded
  std::string tenant;              ///< empty for none
};

/// The head of the client's request as it is sent to an instance: with the deadline set to
/// `remaining_ms` (at least 1), the id of the expected instance, and the authenticated tenant in place of any
/// that the client gives. The body follows unchanged.
std::string BuildUpstreamHead(const ClientRequest& request, const std::string& instance_id,
                              std::int64_t remaining_ms, const UpstreamIdentity& identity);

/// Parses X-Violetwing-Server-Load, "running,waiting,slots"; missing or malformed values are 0.
ServerLoad ParseServerLoad(const std::string& text);

/// Token counts of a request from X-Violetwing-Token-Count, "prompt,max_output".
struct TokenCounts {
  double prompt = 0;
  double max_output = 0;

  /// Cost of prefill and decode together, as a number of prefilled tokens.
  double PrefillEquivalent() const;
};

/// Parses X-Violetwing-Token-Count; missing or malformed values are 0.
TokenCounts ParseTokenCounts(const std::string& text);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_UPSTREAM_REQUEST_HPP_
