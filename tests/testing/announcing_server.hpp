// A model server in the virtual system: it sends heartbeats, and announces its departure until that is
// acknowledged.
#ifndef VIOLETWING_TESTS_TESTING_ANNOUNCING_SERVER_HPP_
#define VIOLETWING_TESTS_TESTING_ANNOUNCING_SERVER_HPP_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "testing/virtual_system.hpp"

namespace violetwing::testing {

/// Calls one control process, and after each failed call the next one.
class AnnouncingServer {
 public:
  AnnouncingServer(VirtualSystem& system, std::string id, std::string address, std::size_t first_control = 0)
      : system_(system), id_(std::move(id)), address_(std::move(address)), control_index_(first_control) {}

  /// To be called at each step of the system.
  void Step() {
    if (*call_in_flight_ || system_.now() < next_at_) return;
    *call_in_flight_ = true;
    const nlohmann::json body{{"backend", "s"},
                              {"address", address_},
                              {"zone", "zone"},
                              {"capacity", 4},
                              {"phase", draining_ ? "draining" : "ready"},
                              {"sequence", ++sequence_}};
    system_.CallPublic(control_index_ % system_.controls(), "PUT", "/api/instances/" + id_, body.dump(), 0,
                       [this, alive = std::weak_ptr<bool>(call_in_flight_), announced = draining_](
                           int status, const std::string&) {
                         if (alive.expired()) return;
                         *call_in_flight_ = false;
                         next_at_ = system_.now() + (status == 200 ? kHeartbeat : 0);
                         if (status != 200) ++control_index_;
                         if (status == 200 && announced && !acknowledged_at_)
                           acknowledged_at_ = system_.now();
                       });
  }
  void Drain() { draining_ = true; }
  bool draining() const { return draining_; }
  bool drain_acknowledged() const { return acknowledged_at_.has_value(); }
  /// When the announcement was first acknowledged.
  std::optional<Micros> acknowledged_at() const { return acknowledged_at_; }
  const std::string& id() const { return id_; }

 private:
  static constexpr Micros kHeartbeat = 500'000;

  VirtualSystem& system_;
  const std::string id_;
  const std::string address_;
  const std::shared_ptr<bool> call_in_flight_ = std::make_shared<bool>(false);
  Micros next_at_ = 0;
  std::size_t control_index_;
  std::int64_t sequence_ = 0;
  bool draining_ = false;
  std::optional<Micros> acknowledged_at_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_ANNOUNCING_SERVER_HPP_
