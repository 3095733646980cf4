#include "sidecar/zone_orders.hpp"

#include <cstdio>
#include <sstream>
#include <utility>

namespace violetwing::sidecar {

std::string ToText(const ZoneOrder& order) {
  return std::string(order.drains ? "drain " : "return ") + std::to_string(order.begun) + " " +
         std::to_string(order.over) + " " + std::to_string(order.from);
}

std::optional<ZoneOrder> ParseOrder(const std::string& text) {
  std::istringstream in(text);
  std::string what;
  std::string more;
  ZoneOrder out;
  in >> what >> out.begun >> out.over >> out.from;
  if (!in || in >> more || (what != "drain" && what != "return")) return std::nullopt;
  if (out.begun < 0 || out.over < 0 || !(out.from >= 0 && out.from <= 1)) return std::nullopt;
  out.drains = what == "drain";
  return out;
}

bool ZoneOrders::Read(std::map<std::string, ZoneOrder>& orders) {
  std::map<std::string, std::string> found;
  if (!files_.Read(found)) return false;
  orders.clear();
  for (const auto& [zone, text] : found) {
    if (const auto order = ParseOrder(text))
      orders[zone] = *order;
    else if (std::exchange(complained_[zone], text) != text)
      std::fprintf(stderr, "by hand: no order for zone %.100s: %.100s\n", zone.c_str(), text.c_str());
  }
  return true;
}

}  // namespace violetwing::sidecar
