// Tests the checks of a change's form that come before the log.
#include "control/configuration/change_form.hpp"

#include <catch2/catch.hpp>

namespace violetwing::configuration {
namespace {

constexpr std::size_t kMaxParsedBytes = 16'000'000;

std::optional<FormProblem> CheckPatch(const std::string& body) {
  return CheckForm({true, 1, body}, kMaxParsedBytes);
}
std::optional<FormProblem> CheckPut(const std::string& body) {
  return CheckForm({false, 1, body}, kMaxParsedBytes);
}

}  // namespace

TEST_CASE("A change that is not JSON in UTF-8 is rejected") {
  for (const char* body :
       {"", "{", "{\"version\":2}x", "{\"name\":\"\xf8\"}", "{\"name\":\"\xc3", "\"\\ud800\""}) {
    CHECK(CheckPut(body) == FormProblem::kNotJson);
    CHECK(CheckPatch(body) == FormProblem::kNotJson);
  }
}

TEST_CASE("Lists of a patch's `delete` hold names alone") {
  CHECK_FALSE(CheckPatch(R"({"version":2,"delete":{"tenants":["a","b"],"routes":[]}})"));
  for (const char* item : {"1", "-1", "1.5", "null", "true", "[]", "[\"a\"]", "{}", "{\"name\":\"a\"}"})
    CHECK(CheckPatch(std::string(R"({"version":2,"delete":{"tenants":["a",)") + item + "]}}") ==
          FormProblem::kDeletesNonName);
}

TEST_CASE("Members named `delete` elsewhere, and that of a complete document, are not checked for names") {
  CHECK_FALSE(CheckPut(R"({"version":2,"delete":{"tenants":[1]}})"));
  CHECK_FALSE(CheckPatch(R"({"version":2,"upsert":{"delete":{"tenants":[1]}}})"));
  CHECK_FALSE(CheckPatch(R"({"delete":{"tenants":["a"]},"upsert":{"limits":{"x":[1]}},"version":2})"));
}

TEST_CASE("Containers of a change nest up to the maximum depth") {
  const auto nested = [](const std::string& open, const std::string& close, std::size_t depth) {
    std::string body = "{\"unknown\":";
    for (std::size_t level = 1; level < depth; ++level) body += open;
    body += "1";
    for (std::size_t level = 1; level < depth; ++level) body += close;
    return body + "}";
  };
  for (const auto& [open, close] :
       {std::pair("[", "]"), std::pair("{\"a\":", "}"), std::pair("[{\"a\":", "}]")}) {
    const std::size_t levels = std::string(open).size() == 6 ? 2 : 1;
    CHECK_FALSE(CheckPut(nested(open, close, kMaxChangeDepth / levels)));
    CHECK(CheckPut(nested(open, close, kMaxChangeDepth + 1)) == FormProblem::kNestsTooDeep);
    CHECK(CheckPatch(nested(open, close, 1'000'000)) == FormProblem::kNestsTooDeep);
  }
}

TEST_CASE("FAULT: a change of small elements is rejected before it is read into memory") {
  const auto list_of = [](const std::string& element, std::size_t body_bytes) {
    std::string body = R"({"version":1,"routes":[)" + element;
    while (body.size() < body_bytes) body += "," + element;
    return body + "]}";
  };
  CHECK(CheckPut(list_of("{}", 1'000'000)) == FormProblem::kTooLarge);
  CHECK(CheckPatch(list_of("[]", 1'000'000)) == FormProblem::kTooLarge);
  CHECK(CheckPut(list_of("0", 1'000'000)) == FormProblem::kTooLarge);
  const std::string route =
      R"({"name":"r","hostname":"a.example","path_prefix":"/x/","type":"streaming","timeout_ms":5000,)"
      R"("target_latency_ms":800,"priority":1,"backend":"huvo11a","max_attempts":1})";
  CHECK_FALSE(CheckPut(list_of(route, 1'000'000)));
}

}  // namespace violetwing::configuration
