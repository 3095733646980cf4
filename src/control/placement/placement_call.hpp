// Calls from the placer to a model server: report requests, and orders to load or unload weights.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_CALL_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_CALL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "messages/instances.hpp"

namespace violetwing {

/// A call to a server: `GET /api/report` or `POST /api/order` (PROTOCOL.md, "Servers" and "Model placement").
struct PlacementCall {
  enum class Kind { kReport, kLoad, kUnload };
  Kind kind = Kind::kReport;
  std::string instance;  // instance id of the server
  std::string address;   // host:port
  std::string model;
  std::string adapter;                      // empty for the model itself
  std::optional<std::int64_t> if_revision;  // number of orders that the server must have accepted so far
};

/// A server's report on its own state, which is a few hundred milliseconds old on arrival.
struct ServerReport {
  bool busy = false;          // an order is in progress
  std::int64_t revision = 0;  // number of orders accepted since the server started
  std::vector<HeldModel> models;
};

/// A server's answer to an order (PROTOCOL.md, "Servers").
enum class OrderStatus {
  kDone,        // 200: the server is in the ordered state
  kInProgress,  // 202: the server is executing the order
  kConflict,    // 409: another order is in progress, or `if_revision` does not match
  kUnknown,     // any other status, or no answer: the order may have been accepted
};

/// Returns the order status for an HTTP status code; 0 stands for no answer.
inline OrderStatus OrderStatusOf(int http_status) {
  switch (http_status) {
    case 200:
      return OrderStatus::kDone;
    case 202:
      return OrderStatus::kInProgress;
    case 409:
      return OrderStatus::kConflict;
    default:
      return OrderStatus::kUnknown;
  }
}

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_CALL_HPP_
