// Configuration documents, as the operator sends them.
#ifndef VIOLETWING_TESTS_TESTING_CONFIGURATION_DOCUMENT_HPP_
#define VIOLETWING_TESTS_TESTING_CONFIGURATION_DOCUMENT_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace violetwing::testing {

// A route named r<number> to the service s.
inline nlohmann::json RouteDocument(int number, int timeout_ms) {
  return {{"name", "r" + std::to_string(number)},
          {"hostname", "a.example"},
          {"path_prefix", "/" + std::to_string(number) + "/"},
          {"type", "idempotent"},
          {"timeout_ms", timeout_ms},
          {"backend", "s"}};
}

// A configuration with the service s and `routes` routes to it.
inline std::string Document(std::int64_t version, int timeout_ms = 1000, int routes = 1) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < routes; ++i) list.push_back(RouteDocument(i, timeout_ms));
  return nlohmann::json{{"version", version},
                        {"routes", std::move(list)},
                        {"backends", {{{"name", "s"}, {"health_check", "/healthz"}}}}}
      .dump();
}

// A patch that sets the timeout of the first route.
inline std::string PatchDocument(std::int64_t version, int timeout_ms) {
  return nlohmann::json{{"version", version}, {"upsert", {{"routes", {RouteDocument(0, timeout_ms)}}}}}
      .dump();
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_CONFIGURATION_DOCUMENT_HPP_
