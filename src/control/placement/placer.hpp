// Decides where models live. To come.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
#include <string>

#include "messages/instances.hpp"
namespace violetwing {
class Placer {
 public:
  explicit Placer(std::string) {}
  void CountDemand(const ModelDemand&, std::int64_t) {}
};
}  // namespace violetwing
#endif
