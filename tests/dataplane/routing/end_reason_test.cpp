#include "dataplane/routing/end_reason.hpp"

#include <catch2/catch.hpp>
#include <set>

namespace violetwing {
namespace {

constexpr int kReasonCount = static_cast<int>(EndReason::kClientDisconnected) + 1;

}  // namespace

TEST_CASE("Every end reason has a unique name for the log") {
  std::set<std::string_view> names;
  for (int i = 0; i < kReasonCount; ++i) {
    const std::string_view name = Name(static_cast<EndReason>(i));
    CHECK_FALSE(name.empty());
    CHECK(names.insert(name).second);
  }
}

TEST_CASE("Response texts of end reasons do not change, as clients see them") {
  CHECK(ResponseText(EndReason::kNoConfiguration) == "no configuration yet");
  CHECK(ResponseText(EndReason::kNoRoute) == "no route");
  CHECK(ResponseText(EndReason::kNoBackend) == "no service");
  CHECK(ResponseText(EndReason::kNoServer) == "no server");
  CHECK(ResponseText(EndReason::kUnknownModel) == "no such model");
  CHECK(ResponseText(EndReason::kModelLoadTooSlow) == "no server has the model, and its load takes too long");
  CHECK(ResponseText(EndReason::kModelNotLoaded) == "no server has the model yet");
  CHECK(ResponseText(EndReason::kRetriesExhausted) == "no server has taken it");
  CHECK(ResponseText(EndReason::kServerFailed) == "the server failed");
  CHECK(ResponseText(EndReason::kNoCapacityInTime) == "no server had room in time");
  CHECK(ResponseText(EndReason::kDeadlineExceeded) == "no answer in time");
}

}  // namespace violetwing
