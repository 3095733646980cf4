// Tests the checks of a change's form that come before the log.
#include "control/configuration/change_form.hpp"

#include <catch2/catch.hpp>

namespace violetwing::configuration {
namespace {

std::optional<FormProblem> CheckPatch(const std::string& body) { return CheckForm({true, 1, body}); }
std::optional<FormProblem> CheckPut(const std::string& body) { return CheckForm({false, 1, body}); }

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

}  // namespace violetwing::configuration
