// A directory of one service's servers that hold the same model, for tests that choose among them.
#ifndef VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_
#define VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_

#include <map>
#include <string>
#include <vector>

#include "dataplane/directory/directory.hpp"

namespace violetwing::testing {

// Returns a directory with `count` servers "i-0", "i-1", ... of service "s" that hold model "m". The first
// three also hold its adapter "a1". The directory belongs to sidecar `sidecar_number`, from 0, of
// `sidecar_count`.
inline Directory ModelServers(int count, int sidecar_number, int sidecar_count) {
  std::map<std::string, Instance> instances;
  for (int i = 0; i < count; ++i) {
    Instance instance;
    instance.id = "i-" + std::to_string(i);
    instance.backend = "s";
    instance.address = "10.0.0.1:" + std::to_string(80 + i);
    instance.capacity = 64;
    instance.models = {{"m", 1, i < 3 ? std::vector<std::string>{"a1"} : std::vector<std::string>{}}};
    instances[instance.id] = instance;
  }
  return Directory(nullptr, instances, sidecar_number, sidecar_count);
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_
