// What is still owed at the instant in which something ends. Each test holds a byte, a FIN, a reset or an
// accept back until the sidecar has reached a known state, and lets go then: the bad order happens each time.
// docs/endings.md lists the ends and which test forces which.
#include <string>
#include <vector>

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class EndingsTest : public SidecarTest {
 protected:
  // 64 descriptors leave room for so many clients' connections (docs/operations.md).
  static constexpr int kPlaces = 11;
  static void FewDescriptors(nlohmann::json& json) { json["limits"]["sockets"] = 64; }

  // Fills all places but `free` with requests that the silent server holds.
  void Fill(ScriptedServer& server, int free) {
    for (int i = 0; i < kPlaces - free; ++i) {
      held.push_back(Client(Get("held" + std::to_string(i))));
      ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == i + 1; }));
    }
  }

  std::vector<std::shared_ptr<Peer>> held;
};

// The last place goes to a connection whose request was read in the instant of its accept. As its handler had
// not run it looked idle, and was closed for the place.
TEST_F(EndingsTest, ARequestReadWithItsAcceptIsNotClosedForItsPlace) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, FewDescriptors);
  Fill(server, 1);
  const auto last = Client(Get("last"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == kPlaces || last->ended; }));
  EXPECT_EQ(server.requests(), kPlaces);
  EXPECT_FALSE(last->ended);
}

// Two at the end of a drain: one is closed unless a request came, and one was read but has not been handled.
TEST_F(EndingsTest, ARequestReadAsRestingConnectionsAreClosedIsServed) {
  std::vector<std::string> taken;
  Inbound::Events events;
  events.on_request = [&](const Inbound::SessionPtr& session, const RequestHead& head, const BodyPtr&) {
    taken.emplace_back(head[kIdHeader]);
    Inbound::Respond(session, Plain(http::status::ok, "ok"));
  };
  events.on_gone = [](const Inbound::SessionPtr&) {};
  events.ready = [] { return true; };
  Inbound inbound(io, Tcp::acceptor(io, Loopback()), 4, std::make_shared<Budget>(1024), events);
  const auto resting = Connect(io, inbound.address());
  const auto asking = Connect(io, inbound.address());
  asking->Write(Get("r1"));
  inbound.StopAccepting();  // takes both, and reads what the second has sent
  inbound.CloseIdle();
  EXPECT_EQ(Status(*asking), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return resting->ended; }));
  EXPECT_EQ(resting->received, "");
  EXPECT_EQ(taken, std::vector<std::string>{"r1"});
}

}  // namespace
}  // namespace merlinrun::net
