// Which tenant a request belongs to, by the key in its Authorization field (RFC 6750, section 2.1).
#ifndef VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_

#include <optional>
#include <string_view>

#include "control/configuration/configuration.hpp"
#include "dataplane/directory/api_key_index.hpp"
#include "dataplane/http/http_text.hpp"

namespace violetwing {

/// The outcome for one request.
struct Authentication {
  enum class Status {
    kNotNeeded,    ///< the route is public, or the configuration has no tenants
    kTenantKnown,  ///< the key is one of `tenant`
    kUnknownKey,   ///< no key, more than one, or one that no tenant holds
  };
  Status status = Status::kNotNeeded;
  const configuration::Tenant* tenant = nullptr;  ///< null unless the key is known
};

/// The key of a request: "Bearer KEY" in its only Authorization field; empty for anything else.
std::optional<std::string_view> BearerKey(const FieldList& fields);

/// Identifies the tenant of a request on a route. The tenant belongs to the configuration of `keys`.
Authentication Authenticate(const ApiKeyIndex& keys, const configuration::Route& route,
                            const FieldList& fields);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_AUTHENTICATION_HPP_
