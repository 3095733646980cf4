// The routes of a configuration, by host and path prefix. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_
#define VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control/configuration/reader.hpp"

namespace violetwing {

/// Index of a configuration's routes. The configuration must outlive it, and owns the routes. Immutable.
class RouteTable {
 public:
  RouteTable() = default;
  /// Indexes the routes of `configuration`.
  explicit RouteTable(const configuration::Configuration& configuration);
  /// The route of `host` with the longest prefix of `path`, or null. The case of the host, a port in it, and
  /// a query in the path do not matter.
  const configuration::Route* Match(std::string_view host, std::string_view path) const;

 private:
  // By host in lower case, the longest prefixes first.
  std::map<std::string, std::vector<const configuration::Route*>, std::less<>> by_host_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_
