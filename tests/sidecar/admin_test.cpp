// The operators' address: its calls, and callers that do not end theirs.
#include "sidecar/admin.hpp"

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class AdminTest : public ::testing::Test {
 protected:
  AdminTest()
      : admin(io, Loopback(),
              {[this] { return ready; }, [] { return "figures\n"; },
               [this](const std::string& server) {
                 out = server;
                 return verdict;
               },
               [this](const std::string& server) {
                 back = server;
                 return verdict;
               },
               [this](const std::string& zone, bool drains, Micros over) {
                 ordered = (drains ? "drain " : "return ") + zone + " " + std::to_string(over);
                 return verdict;
               }}) {}

  static std::string Post(const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  // The status of the answer to one call, sent in pieces of `piece` bytes.
  std::string Call(const std::string& text, std::size_t piece = 65536) {
    auto caller = Connect(io, admin.address());
    for (std::size_t at = 0; at < text.size(); at += piece) {
      caller->Write(text.substr(at, piece));
      io.poll();
    }
    EXPECT_TRUE(RunUntil(io, [&] { return caller->ended; })) << text.substr(0, 40);
    return caller->received.size() < 12 ? "" : caller->received.substr(9, 3);
  }

  bool ready = true;
  Admin::Verdict verdict = Admin::Verdict::kDone;
  std::string out;
  std::string back;
  std::string ordered;
  asio::io_context io;
  Admin admin;
};

TEST_F(AdminTest, TakesOrdersForZones) {
  EXPECT_EQ(Call(Post("/zones/drain", R"({"zone":"east","over_s":1.5})")), "200");
  EXPECT_EQ(ordered, "drain east 1500000");
  EXPECT_EQ(Call(Post("/zones/return", R"({"zone":"east"})")), "200");
  EXPECT_EQ(ordered, "return east 0");
  verdict = Admin::Verdict::kLast;
  EXPECT_EQ(Call(Post("/zones/drain", R"({"zone":"east"})")), "409");
  verdict = Admin::Verdict::kNeverListed;
  EXPECT_EQ(Call(Post("/zones/drain", R"({"zone":"moon"})")), "404");
  ordered.clear();
  for (const char* bad : {"{}", R"({"zone":7})", R"({"zone":"east","over_s":-1})",
                          R"({"zone":"east","over_s":"1"})", R"({"zone":"east","over_s":1e9})", "east"})
    EXPECT_EQ(Call(Post("/zones/drain", bad)), "400") << bad;
  EXPECT_EQ(Call("GET /zones/drain HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(ordered, "");
}

TEST_F(AdminTest, AnswersOneCallToAConnection) {
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"), "200");
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 1), "200");
  EXPECT_EQ(Call("GET /ready?now HTTP/1.0\r\n\r\n"), "200");
  ready = false;
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"), "503");
}

TEST_F(AdminTest, SaysNoToWhatIsNoCall) {
  EXPECT_EQ(Call("GET /other HTTP/1.1\r\n\r\n"), "404");
  EXPECT_EQ(Call("POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), "405");
  EXPECT_EQ(Call("nonsense\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n"), "431");
  EXPECT_EQ(Call("POST /ready HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')), "413");
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\n\r\n"), "200");
}

TEST_F(AdminTest, TakesServersOutAndCallsThemBack) {
  EXPECT_EQ(Call("GET /metrics HTTP/1.1\r\n\r\n"), "200");
  EXPECT_EQ(Call(Post("/servers/disable", R"({"who":"s-1 \u00e5"})"), 1), "200");
  EXPECT_EQ(out, "s-1 \u00e5");
  EXPECT_EQ(Call(Post("/servers/enable", R"({"who":"s2","more":1})")), "200");
  EXPECT_EQ(back, "s2");
  verdict = Admin::Verdict::kNeverListed;
  EXPECT_EQ(Call(Post("/servers/disable", R"({"who":"s3"})")), "404");
  verdict = Admin::Verdict::kNotKept;
  EXPECT_EQ(Call(Post("/servers/disable", R"({"who":"s3"})")), "500");
  out.clear();
  for (const char* body : {"", "{", "[]", "{}", R"({"who":7})", R"({"who":null})", R"(["who"])", "\"who\""})
    EXPECT_EQ(Call(Post("/servers/disable", body)), "400") << body;
  EXPECT_EQ(Call(Post("/servers/disable", std::string(4000, '['))), "400");
  EXPECT_EQ(Call("GET /servers/disable HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(out, "");
}

TEST_F(AdminTest, CallersThatEndNoCallKeepNobodyOutAndAreEnded) {
  std::vector<std::shared_ptr<Peer>> callers;
  for (std::size_t i = 0; i < 2 * Admin::kMaxConnections; ++i) {
    callers.push_back(Connect(io, admin.address()));
    if (i % 2 == 0) callers.back()->Write("GET /rea");
    io.poll();
  }
  EXPECT_EQ(Call("GET /ready HTTP/1.1\r\n\r\n"), "200");
  EXPECT_LE(admin.callers(), Admin::kMaxConnections);
  EXPECT_TRUE(RunUntil(io, [&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->ended; });
  }));
  EXPECT_EQ(admin.callers(), 0U);
}

}  // namespace
}  // namespace violetwing::sidecar
