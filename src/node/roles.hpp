// The two roles of a process: each runs its service until a signal or an error ends it.
#ifndef VIOLETWING_NODE_ROLES_HPP_
#define VIOLETWING_NODE_ROLES_HPP_

#include <string>

#include "common/node_settings.hpp"

namespace violetwing::node {

/// Serves clients' requests. `settings_path`: the file that is read again on SIGHUP and every second. Returns
/// the exit status after SIGTERM or SIGINT, or after an error that does not pass.
int RunEdge(const NodeSettings& settings, const std::string& settings_path);

/// Stores the system's state. As RunEdge, but exits the process itself once it has served.
int RunControl(const NodeSettings& settings, const std::string& settings_path);

}  // namespace violetwing::node

#endif  // VIOLETWING_NODE_ROLES_HPP_
