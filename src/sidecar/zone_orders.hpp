// Operators' orders for zones, stored across upgrades and restarts: one file per order, with its start in
// Unix time.
#ifndef VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_
#define VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_

#include <map>
#include <optional>
#include <string>

#include "sidecar/balancer_types.hpp"
#include "sidecar/file_store.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

/// Text such as "drain 1764628000000000 60000000 0.500000": the start and the duration in microseconds, and
/// the share of its usual traffic that the zone had at the start (0 to 1).
std::string ToText(const ZoneOrder& order);
/// Returns nullopt if `text` is not an order.
std::optional<ZoneOrder> ParseOrder(const std::string& text);

/// The orders for zones on disk.
class ZoneOrders {
 public:
  /// If `directory` is empty, nothing can be stored and every call fails.
  explicit ZoneOrders(std::string directory) : files_(std::move(directory), stored_names::kZonePrefix) {}

  /// Return false and change nothing if the file cannot be written or removed. Both are idempotent.
  bool Put(const std::string& zone, const ZoneOrder& order) { return files_.Put(zone, ToText(order)); }
  bool Remove(const std::string& zone) { return files_.Remove(zone); }
  /// Reads all orders by zone. Returns false and leaves `orders` unchanged if the directory cannot be read.
  /// Logs a malformed file once for each content.
  bool Read(std::map<std::string, ZoneOrder>& orders);

 private:
  FileStore files_;
  std::map<std::string, std::string> logged_;  // the malformed text that was logged last, by zone
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_
