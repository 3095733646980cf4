// The identity of a control process, as it is sent to other processes.
#ifndef VIOLETWING_MESSAGES_CONTROL_NODE_HPP_
#define VIOLETWING_MESSAGES_CONTROL_NODE_HPP_

#include <string>

namespace violetwing {

/// A control process and its addresses ("host:port").
struct ControlNode {
  std::string node;         ///< node name of the process, from its settings
  std::string zone;         ///< failure domain
  std::string address;      ///< for internal calls
  std::string api_address;  ///< for model servers and the operator
  /// The process is shutting down. Set by the process itself only.
  bool leaving = false;
  bool operator==(const ControlNode&) const = default;
};

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_CONTROL_NODE_HPP_
