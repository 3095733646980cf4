// The copy of the server list on disk, for a start while no registry is up.
#include "sidecar/last_list.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
namespace fs = std::filesystem;

class LastListTest : public ::testing::Test {
 protected:
  LastListTest() {
    std::string name = (fs::temp_directory_path() / "list-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  ~LastListTest() override { fs::remove_all(directory); }

  // Runs a process that starts from `known` and receives `lists`; it leaves the file.
  void ReceiveLists(const std::string& known, const std::vector<nlohmann::json>& lists) {
    LastList last(io, directory, names);
    last.Load(known);
    std::string reason;
    for (const auto& list : lists) EXPECT_TRUE(last.Update(list, reason)) << reason;
  }
  std::optional<EndpointList> Load(const std::string& known = "") {
    return LastList(io, directory, names).Load(known);
  }

  asio::io_context io;
  const Tcp::endpoint at{asio::ip::make_address("127.0.0.1"), 80};
  bench_adapter::WireSettings names{{}, {"west", "east"}, {"std"}};
  std::string directory;
};

TEST_F(LastListTest, StoresTheCompleteListAfterChanges) {
  EXPECT_FALSE(Load());
  ReceiveLists(List(5, true, {Entry("a", at), Entry("b", at)}).dump(),
               {List(6, false, {Entry("c", at)}), List(7, false, {Entry("a", at, "removed")})});
  const auto stored = Load();
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->generation, 7);
  ASSERT_EQ(stored->endpoints.size(), 2U);
  EXPECT_EQ(stored->endpoints[0].info.id, "b");
  EXPECT_EQ(stored->endpoints[1].info.id, "c");
  EXPECT_TRUE(Load(List(6, true, {Entry("d", at)}).dump()));
  // With the same generation, the configuration's list is used.
  EXPECT_FALSE(Load(List(7, true, {Entry("d", at)}).dump()));
}

TEST_F(LastListTest, RejectsChangesThatLeaveNoServer) {
  LastList last(io, directory, names);
  last.Load(List(5, true, {Entry("a", at), Entry("b", at)}).dump());
  std::string reason;
  EXPECT_FALSE(last.Update(List(6, false, {Entry("a", at, "removed"), Entry("b", at, "removed")}), reason));
  EXPECT_FALSE(reason.empty());
  EXPECT_TRUE(last.Update(
      List(7, false, {Entry("a", at, "removed"), Entry("b", at, "removed"), Entry("c", at)}), reason));
}

TEST_F(LastListTest, LogsAndIgnoresAnInvalidCopy) {
  for (const std::string& text : {std::string("{\"generation\":9,\"re"), List(9, true, {}).dump(),
                                  List(9, false, {Entry("a", at)}).dump()}) {
    std::ofstream(fs::path(directory) / LastList::kFile) << text;
    ::testing::internal::CaptureStderr();
    EXPECT_FALSE(Load()) << text;
    const std::string logged = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 1) << logged;
  }
}

}  // namespace
}  // namespace violetwing::sidecar
