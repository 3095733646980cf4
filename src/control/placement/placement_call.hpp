// Calls of the placer to a model server: requests for its report, and orders to load or unload weights.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_CALL_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_CALL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "messages/instances.hpp"

namespace violetwing {

/// A call to make to a server: `GET /api/report` or `POST /api/order` (PROTOCOL.md, "Servers" and "Model
/// placement").
struct PlacementCall {
  enum class Kind { kReport, kLoad, kUnload };
  Kind kind = Kind::kReport;
  std::string instance;  // id of the server's instance
  std::string address;   // host:port
  std::string model;
  std::string adapter;                      // empty for the model itself
  std::optional<std::int64_t> if_revision;  // number of orders that the server must have accepted before
};

/// What a server reports about itself; it is some hundred milliseconds old.
struct ServerReport {
  bool busy = false;          // an order is in progress
  std::int64_t revision = 0;  // orders accepted since the server's start
  std::vector<HeldModel> models;
};

/// A server's answer to an order (PROTOCOL.md, "Servers").
enum class OrderStatus {
  kDone,        // 200: the server is in the state that was ordered
  kInProgress,  // 202: the server carries the order out
  kConflict,    // 409: another order is in progress, or `if_revision` does not match
  kUnknown,     // no answer, or any other: the order may have been accepted
};

/// The status for an HTTP status code; 0 stands for no answer.
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
