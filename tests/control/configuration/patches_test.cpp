// Tests the cache of recent patches, and that sidecars receive patches instead of the complete document.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/configuration/recent_patches.hpp"
#include "control/configuration/state.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using configuration::RecentPatches;
using nlohmann::json;
using testing::Document;
using testing::PatchDocument;
using testing::VirtualSystem;
using testing::WireMessage;
using Texts = std::vector<std::string>;

double TimeoutOf(const configuration::State& state) { return state.current()->routes[0].timeout_ms; }

// Returns a reply to a sidecar that has an earlier version.
WatchReply MakeReply(std::int64_t version, std::string document, Texts patches) {
  WatchReply reply;
  reply.configuration_version = version;
  reply.configuration_document = std::move(document);
  reply.configuration_patches = std::move(patches);
  return reply;
}

}  // namespace

TEST_CASE("Since returns the consecutive patches from a version to the latest one") {
  RecentPatches patches;
  CHECK_FALSE(patches.Since(1));
  patches.Add(1, 2, "a");
  patches.Add(2, 5, "b");
  CHECK(patches.Since(1) == Texts{"a", "b"});
  CHECK(patches.Since(2) == Texts{"b"});
  CHECK_FALSE(patches.Since(3));  // a version that no patch produced
  CHECK_FALSE(patches.Since(5));  // the latest version
  patches.Add(7, 8, "c");         // there is no patch to version 7
  CHECK_FALSE(patches.Since(2));
  CHECK(patches.Since(7) == Texts{"c"});
  patches.Clear();
  CHECK_FALSE(patches.Since(7));
}

TEST_CASE("The oldest patches are evicted beyond the size limit, and a patch above the limit is not stored") {
  RecentPatches patches;
  const std::string half(RecentPatches::kMaxBytes / 2, 'x');
  for (std::int64_t version = 1; version <= 3; ++version) patches.Add(version, version + 1, half);
  CHECK_FALSE(patches.Since(1));
  CHECK(patches.Since(2)->size() == 2);
  patches.Add(4, 5, std::string(RecentPatches::kMaxBytes + 1, 'x'));
  CHECK_FALSE(patches.Since(2));
  CHECK_FALSE(patches.Since(4));
}

TEST_CASE("PatchesSince returns patches shorter than the document, and none across a replaced document") {
  configuration::State state;
  REQUIRE(state.Apply({false, 0, Document(1)}).status == configuration::ChangeStatus::kAccepted);
  CHECK_FALSE(state.PatchesSince(0));
  REQUIRE(state.Apply({true, 1, PatchDocument(2, 2000)}).status == configuration::ChangeStatus::kAccepted);
  CHECK(state.PatchesSince(1) == Texts{PatchDocument(2, 2000)});
  REQUIRE(state.Apply({true, 2, PatchDocument(3, 0)}).status == configuration::ChangeStatus::kInvalid);
  CHECK(state.PatchesSince(1)->size() == 1);
  REQUIRE(state.Apply({true, 2, PatchDocument(3, 3000)}).status == configuration::ChangeStatus::kAccepted);
  CHECK(state.PatchesSince(2)->size() == 1);
  CHECK_FALSE(state.PatchesSince(1));  // two patches together are longer than this short document
  REQUIRE(state.Apply({false, 3, Document(4)}).status == configuration::ChangeStatus::kAccepted);
  CHECK_FALSE(state.PatchesSince(2));
  CHECK_FALSE(state.PatchesSince(3));
  REQUIRE(state.Apply({true, 4, PatchDocument(5, 5000)}).status == configuration::ChangeStatus::kAccepted);
  CHECK(state.PatchesSince(4)->size() == 1);
  configuration::State loaded;
  REQUIRE(loaded.Load(state.Save()));
  CHECK(loaded.version() == 5);
  CHECK_FALSE(loaded.PatchesSince(4));
  CHECK(TimeoutOf(loaded) == 5000);
}

TEST_CASE("A sidecar applies patches to its version, and requests the complete document if that fails") {
  SystemView view("edge");
  CHECK_FALSE(view.NextWatchRequest(0, {}).accepts_patches);  // it has no configuration yet
  CHECK_FALSE(view.Apply(MakeReply(2, "", {PatchDocument(2, 2000)})));
  REQUIRE(view.Apply(MakeReply(1, Document(1), {})));
  CHECK(view.NextWatchRequest(0, {}).accepts_patches);
  REQUIRE(view.Apply(MakeReply(3, "", {PatchDocument(2, 2000), PatchDocument(3, 3000)})));
  CHECK(view.version() == 3);
  // A malformed patch, an invalid one, one to another version, and one that is not an object.
  for (const Texts& inapplicable :
       {Texts{"{"}, Texts{PatchDocument(4, 0)}, Texts{PatchDocument(4, 4000)}, Texts{"[]"}}) {
    CHECK_FALSE(view.Apply(MakeReply(5, "", inapplicable)));
    CHECK(view.version() == 3);
    CHECK_FALSE(view.NextWatchRequest(0, {}).accepts_patches);
  }
  REQUIRE(view.Apply(MakeReply(5, Document(5), {})));
  CHECK(view.version() == 5);
  CHECK(view.NextWatchRequest(0, {}).accepts_patches);
  CHECK_FALSE(view.Apply(MakeReply(4, "", {PatchDocument(4, 4000)})));  // a delayed reply
  CHECK(view.version() == 5);
}

TEST_CASE("Cores: a patch reaches all sidecars without sending the complete document") {
  constexpr Micros kTimeout = 10'000'000;
  VirtualSystem system(3, 4, 1);
  const auto change = [&](const std::string& method, std::int64_t base, const std::string& body) {
    int status = 0;
    const auto call = [&](std::size_t control) {
      status = 0;
      system.CallPublic(control, method, "/api/configuration", body, base,
                        [&](int response_status, const std::string&) { status = response_status; });
      return system.RunUntil([&] { return status != 0; }, kTimeout) && status == 200;
    };
    std::size_t attempt = 0;
    while (attempt < 30 && !call(attempt % system.controls())) ++attempt;
    CHECK(status == 200);
  };
  const auto await = [&](std::int64_t version) {
    CHECK(system.RunUntil(
        [&] {
          for (std::size_t i = 0; i < system.sidecars(); ++i)
            if (system.sidecar(i).view->version() != version) return false;
          return true;
        },
        kTimeout));
  };
  change("PUT", 0, Document(1));
  await(1);
  int documents = 0;
  int patches = 0;
  system.tamper = [&](WireMessage& message) {
    if (message.path != kWatchPath || !message.is_response) return;
    const auto reply = Decode<WatchReply>(message.body);
    if (!reply) return;
    documents += reply->configuration_document.empty() ? 0 : 1;
    patches += reply->configuration_patches.empty() ? 0 : 1;
  };
  for (std::int64_t version = 2; version <= 6; ++version) {
    change("PATCH", version - 1, PatchDocument(version, static_cast<int>(version) * 1000));
    await(version);
  }
  CHECK(documents == 0);
  CHECK(patches >= 4 * 5);
  CHECK(system.violations().empty());
}

}  // namespace violetwing
