// Index of a configuration's routes by host and path prefix. Sans-I/O: holds no clock, socket, file or
// thread.
#ifndef VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_
#define VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control/configuration/reader.hpp"

namespace violetwing {

/// Index of a configuration's routes. The configuration owns the routes and must outlive the index.
/// Immutable.
class RouteTable {
 public:
  RouteTable() = default;
  /// Indexes the routes of `configuration`.
  explicit RouteTable(const configuration::Configuration& configuration);
  /// Returns the route of `host` with the longest matching prefix of `path`, or null. Ignores the case of
  /// `host`, a port in it, and a query in `path`.
  const configuration::Route* Match(std::string_view host, std::string_view path) const;

 private:
  // By lower-case host; longest prefix first.
  std::map<std::string, std::vector<const configuration::Route*>, std::less<>> by_host_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_DIRECTORY_ROUTE_TABLE_HPP_
