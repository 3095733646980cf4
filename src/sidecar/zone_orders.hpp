// What operators want of zones, kept over upgrades and restarts: an order a file, with its begin in Unix
// time.
#ifndef VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_
#define VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_

#include <map>
#include <optional>
#include <string>

#include "sidecar/balancer_types.hpp"
#include "sidecar/file_store.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

// "drain 1764628000000000 60000000 0.500000": begin and length in microseconds, and how far it was open.
std::string ToText(const ZoneOrder& order);
// Empty if it is no order.
std::optional<ZoneOrder> ParseOrder(const std::string& text);

class ZoneOrders {
 public:
  explicit ZoneOrders(std::string directory) : files_(std::move(directory), stored_names::kZonePrefix) {}

  bool Put(const std::string& zone, const ZoneOrder& order) { return files_.Put(zone, ToText(order)); }
  bool Remove(const std::string& zone) { return files_.Remove(zone); }
  // By zone. False, and `orders` is as it was, if the directory cannot be read; a file that holds no order is
  // one line in the log, once.
  bool Read(std::map<std::string, ZoneOrder>& orders);

 private:
  FileStore files_;
  std::map<std::string, std::string> complained_;  // the text by zone
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_ZONE_ORDERS_HPP_
