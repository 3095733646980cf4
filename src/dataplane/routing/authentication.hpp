// Identifies the tenant of a request by the API key in its Authorization field (RFC 6750, section 2.1).
#ifndef VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_

#include <optional>
#include <string_view>

#include "control/configuration/configuration.hpp"
#include "dataplane/directory/api_key_index.hpp"
#include "dataplane/http/http_text.hpp"

namespace violetwing {

/// Result of authenticating one request.
struct Authentication {
  enum class Status {
    kNotNeeded,    ///< the route is public, or the configuration has no tenants
    kTenantKnown,  ///< the key belongs to `tenant`
    kUnknownKey,   ///< no key, more than one, or one that belongs to no tenant
  };
  Status status = Status::kNotNeeded;
  const configuration::Tenant* tenant = nullptr;  ///< null unless the key is known
};

/// Returns the key of a request with exactly one Authorization field of the form "Bearer KEY", else nullopt.
std::optional<std::string_view> BearerKey(const FieldList& fields);

/// Identifies the tenant of a request on a route. The configuration of `keys` owns the returned tenant.
Authentication Authenticate(const ApiKeyIndex& keys, const configuration::Route& route,
                            const FieldList& fields);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_
