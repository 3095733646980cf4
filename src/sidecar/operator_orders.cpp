#include "sidecar/operator_orders.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <set>
#include <utility>

namespace violetwing::sidecar {
namespace {

// How often a process looks for what another one was told: what that one has said yes to binds after the
// grace, half a second where it is shortest.
constexpr auto kPeriod = std::chrono::milliseconds(200);

}  // namespace

OperatorOrders::OperatorOrders(asio::io_context& io, const std::string& directory,
                               const bench_adapter::WireSettings& names, Balancer& balancer,
                               Upstream& upstream, std::function<Micros()> now)
    : names_(names),
      balancer_(balancer),
      upstream_(upstream),
      now_(std::move(now)),
      bans_(directory),
      zones_(directory),
      timer_(io) {}

void OperatorOrders::Poll() {
  ApplyBans();
  ApplyZones();
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Poll();
  });
}

bool OperatorOrders::Known(const std::string& server) const {
  return balancer_.WasListed(server) || balancer_.disabled().count(server) > 0;
}

Admin::Verdict OperatorOrders::DisableServer(const std::string& server) {
  if (!Known(server)) return Admin::Verdict::kNeverListed;
  return bans_.Add(server) && ApplyBans() ? Admin::Verdict::kDone : Admin::Verdict::kNotKept;
}

Admin::Verdict OperatorOrders::EnableServer(const std::string& server) {
  if (!Known(server)) return Admin::Verdict::kNeverListed;
  return bans_.Remove(server) && ApplyBans() ? Admin::Verdict::kDone : Admin::Verdict::kNotKept;
}

Admin::Verdict OperatorOrders::OrderZone(const std::string& zone, bool drains, Micros over) {
  const int number = bench_adapter::IndexOf(names_.zones, zone);
  if (number < 0) return Admin::Verdict::kNeverListed;
  if (drains && !balancer_.HasUsableServerOutside(number)) return Admin::Verdict::kLast;
  const Micros now = now_();
  const ZoneOrder order{drains, now, over, balancer_.ZoneTrafficShare(now, number)};
  return zones_.Put(zone, order) && ApplyZones() ? Admin::Verdict::kDone : Admin::Verdict::kNotKept;
}

// False if they cannot be read.
bool OperatorOrders::ApplyBans() {
  std::set<std::string> kept;
  if (!bans_.Read(kept)) return false;
  const std::set<std::string> before = balancer_.disabled();
  for (const std::string& server : kept) {
    if (before.count(server) > 0) continue;
    balancer_.Disable(now_(), server);
    upstream_.Retire(server);
  }
  for (const std::string& server : before)
    if (kept.count(server) == 0) balancer_.Enable(now_(), server);
  return true;
}

bool OperatorOrders::ApplyZones() {
  std::map<std::string, ZoneOrder> kept;
  if (!zones_.Read(kept)) return false;
  const Micros now = now_();
  for (const auto& [zone, order] : kept) {
    const int number = bench_adapter::IndexOf(names_.zones, zone);
    if (number < 0) continue;  // of other settings
    const auto it = applied_.find(zone);
    if (it == applied_.end() || it->second != order) balancer_.SetZoneOrder(now, number, order);
    if (!order.draining && balancer_.ZoneTrafficShare(now, number) >= 1)
      zones_.Remove(zone);  // it has returned
  }
  for (const auto& [zone, order] : applied_)
    if (kept.count(zone) == 0) balancer_.ClearZoneOrder(bench_adapter::IndexOf(names_.zones, zone));
  applied_ = std::move(kept);
  return true;
}

std::string OperatorOrders::ZoneMetrics() const {
  std::string out;
  for (const auto& [zone, order] : applied_) {
    const int number = bench_adapter::IndexOf(names_.zones, zone);
    const double open = number < 0 ? 1 : balancer_.ZoneTrafficShare(now_(), number);
    if (open < 1) out += "sidecar.zone." + zone + ".open=" + std::to_string(open) + "\n";
  }
  return out;
}

}  // namespace violetwing::sidecar
