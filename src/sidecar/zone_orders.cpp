#include "sidecar/zone_orders.hpp"

#include <cstdio>
#include <sstream>
#include <utility>

namespace violetwing::sidecar {

std::string ToText(const ZoneOrder& order) {
  return std::string(order.draining ? "drain " : "return ") + std::to_string(order.start) + " " +
         std::to_string(order.duration) + " " + std::to_string(order.initial_share);
}

std::optional<ZoneOrder> ParseOrder(const std::string& text) {
  std::istringstream in(text);
  std::string verb;
  std::string trailing;
  ZoneOrder out;
  in >> verb >> out.start >> out.duration >> out.initial_share;
  if (!in || in >> trailing || (verb != "drain" && verb != "return")) return std::nullopt;
  if (out.start < 0 || out.duration < 0 || !(out.initial_share >= 0 && out.initial_share <= 1))
    return std::nullopt;
  out.draining = verb == "drain";
  return out;
}

bool ZoneOrders::Read(std::map<std::string, ZoneOrder>& orders) {
  std::map<std::string, std::string> found;
  if (!files_.Read(found)) return false;
  orders.clear();
  for (const auto& [zone, text] : found) {
    if (const auto order = ParseOrder(text))
      orders[zone] = *order;
    else if (std::exchange(logged_[zone], text) != text)
      std::fprintf(stderr, "operator orders: ignored malformed order for zone %.100s: %.100s\n", zone.c_str(),
                   text.c_str());
  }
  return true;
}

}  // namespace violetwing::sidecar
