// A directory of servers of one service that hold one model, for tests of choices among them.
#ifndef VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_
#define VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_

#include <map>
#include <string>
#include <vector>

#include "dataplane/directory/directory.hpp"

namespace violetwing::testing {

// Servers "i-0" and so on of service "s" with model "m"; the first three hold its adapter "a1".
inline Directory ModelServers(int count, int number, int sidecars) {
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
  return Directory(nullptr, instances, number, sidecars);
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_MODEL_SERVERS_HPP_
