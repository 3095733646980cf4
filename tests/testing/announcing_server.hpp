// A model server in the virtual system: it sends heartbeats, and announces that it leaves until that is
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

/// Calls one control process, the next one after a failure.
class AnnouncingServer {
 public:
  AnnouncingServer(VirtualSystem& system, std::string id, std::string address, std::size_t first_control = 0)
      : system_(system), id_(std::move(id)), address_(std::move(address)), at_(first_control) {}

  /// To be called at each turn of the system.
  void Turn() {
    if (*calling_ || system_.now() < next_at_) return;
    *calling_ = true;
    const nlohmann::json body{{"backend", "s"},
                              {"address", address_},
                              {"zone", "zone"},
                              {"capacity", 4},
                              {"phase", draining_ ? "draining" : "ready"},
                              {"sequence", ++sequence_}};
    system_.CallPublic(
        at_ % system_.controls(), "PUT", "/api/instances/" + id_, body.dump(), 0,
        [this, calling = std::weak_ptr<bool>(calling_), said = draining_](int status, const std::string&) {
          if (calling.expired()) return;
          *calling_ = false;
          next_at_ = system_.now() + (status == 200 ? kHeartbeat : 0);
          if (status != 200) ++at_;
          if (status == 200 && said && !acknowledged_at_) acknowledged_at_ = system_.now();
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
  const std::shared_ptr<bool> calling_ = std::make_shared<bool>(false);
  Micros next_at_ = 0;
  std::size_t at_;
  std::int64_t sequence_ = 0;
  bool draining_ = false;
  std::optional<Micros> acknowledged_at_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_ANNOUNCING_SERVER_HPP_
