// The operators' HTTP listener: its requests, and clients that never complete theirs.
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
                 disabled = server;
                 return result;
               },
               [this](const std::string& server) {
                 enabled = server;
                 return result;
               },
               [this](const std::string& zone, bool drains, Micros duration) {
                 ordered = (drains ? "drain " : "return ") + zone + " " + std::to_string(duration);
                 return result;
               }}) {}

  static std::string Post(const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  // Sends one request in pieces of `piece` bytes and returns the status of the response.
  std::string StatusOf(const std::string& text, std::size_t piece = 65536) {
    auto client = Connect(io, admin.address());
    for (std::size_t at = 0; at < text.size(); at += piece) {
      client->Write(text.substr(at, piece));
      io.poll();
    }
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended; })) << text.substr(0, 40);
    return client->received.size() < 12 ? "" : client->received.substr(9, 3);
  }

  bool ready = true;
  Admin::OrderResult result = Admin::OrderResult::kDone;
  std::string disabled;
  std::string enabled;
  std::string ordered;
  asio::io_context io;
  Admin admin;
};

TEST_F(AdminTest, AcceptsZoneOrders) {
  EXPECT_EQ(StatusOf(Post("/zones/drain", R"({"zone":"east","over_s":1.5})")), "200");
  EXPECT_EQ(ordered, "drain east 1500000");
  EXPECT_EQ(StatusOf(Post("/zones/return", R"({"zone":"east"})")), "200");
  EXPECT_EQ(ordered, "return east 0");
  result = Admin::OrderResult::kNoServerElsewhere;
  EXPECT_EQ(StatusOf(Post("/zones/drain", R"({"zone":"east"})")), "409");
  result = Admin::OrderResult::kUnknown;
  EXPECT_EQ(StatusOf(Post("/zones/drain", R"({"zone":"moon"})")), "404");
  ordered.clear();
  for (const char* bad : {"{}", R"({"zone":7})", R"({"zone":"east","over_s":-1})",
                          R"({"zone":"east","over_s":"1"})", R"({"zone":"east","over_s":1e9})", "east"})
    EXPECT_EQ(StatusOf(Post("/zones/drain", bad)), "400") << bad;
  EXPECT_EQ(StatusOf("GET /zones/drain HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(ordered, "");
}

TEST_F(AdminTest, ServesOneRequestPerConnection) {
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"), "200");
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 1), "200");
  EXPECT_EQ(StatusOf("GET /ready?now HTTP/1.0\r\n\r\n"), "200");
  ready = false;
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"), "503");
}

TEST_F(AdminTest, RejectsInvalidRequests) {
  EXPECT_EQ(StatusOf("GET /other HTTP/1.1\r\n\r\n"), "404");
  EXPECT_EQ(StatusOf("POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), "405");
  EXPECT_EQ(StatusOf("nonsense\r\n\r\n"), "400");
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"),
            "400");
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n"), "431");
  EXPECT_EQ(StatusOf("POST /ready HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')), "413");
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\n\r\n"), "200");
}

TEST_F(AdminTest, DisablesAndEnablesServers) {
  EXPECT_EQ(StatusOf("GET /metrics HTTP/1.1\r\n\r\n"), "200");
  EXPECT_EQ(StatusOf(Post("/servers/disable", R"({"who":"s-1 \u00e5"})"), 1), "200");
  EXPECT_EQ(disabled, "s-1 \u00e5");
  EXPECT_EQ(StatusOf(Post("/servers/enable", R"({"who":"s2","more":1})")), "200");
  EXPECT_EQ(enabled, "s2");
  result = Admin::OrderResult::kUnknown;
  EXPECT_EQ(StatusOf(Post("/servers/disable", R"({"who":"s3"})")), "404");
  result = Admin::OrderResult::kNotStored;
  EXPECT_EQ(StatusOf(Post("/servers/disable", R"({"who":"s3"})")), "500");
  disabled.clear();
  for (const char* body : {"", "{", "[]", "{}", R"({"who":7})", R"({"who":null})", R"(["who"])", "\"who\""})
    EXPECT_EQ(StatusOf(Post("/servers/disable", body)), "400") << body;
  EXPECT_EQ(StatusOf(Post("/servers/disable", std::string(4000, '['))), "400");
  EXPECT_EQ(StatusOf("GET /servers/disable HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(disabled, "");
}

TEST_F(AdminTest, ClosesIncompleteRequestsAndServesOthersMeanwhile) {
  std::vector<std::shared_ptr<Peer>> clients;
  for (std::size_t i = 0; i < 2 * Admin::kMaxConnections; ++i) {
    clients.push_back(Connect(io, admin.address()));
    if (i % 2 == 0) clients.back()->Write("GET /rea");
    io.poll();
  }
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\n\r\n"), "200");
  EXPECT_LE(admin.connection_count(), Admin::kMaxConnections);
  EXPECT_TRUE(RunUntil(io, [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) { return client->ended; });
  }));
  EXPECT_EQ(admin.connection_count(), 0U);
}

}  // namespace
}  // namespace violetwing::sidecar
