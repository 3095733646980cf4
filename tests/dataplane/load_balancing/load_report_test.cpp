// What sidecars tell each other of their requests at model servers, and what they make of it.
#include <catch2/catch.hpp>

#include "common/steady_time.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "dataplane/load_balancing/load_report_exchange.hpp"
#include "dataplane/load_balancing/prefill_queue.hpp"
#include "sidecar/scripted_peers.hpp"
#include "testing/model_servers.hpp"
#include "testing/wire_fields.hpp"

namespace violetwing {
namespace {

using violetwing::sidecar::testing::RunUntil;

constexpr std::int64_t kSecond = 1'000'000;

LoadBalancer::RequestAttributes RequestAttributes(const std::vector<PromptPart>& parts) {
  LoadBalancer::RequestAttributes attributes;
  attributes.model = "m";
  attributes.parts = &parts;
  for (const PromptPart& part : parts) attributes.tokens += part.tokens;
  return attributes;
}

std::string FreeAddress(boost::asio::io_context& io) {
  const boost::asio::ip::udp::socket free(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

// A sidecar's choices, whose reports go to others by the test's hand.
struct Sidecar {
  explicit Sidecar(std::uint64_t seed) : load_balancer(seed) {
    load_balancer.SetOnNews([this](bool heavy) { heavy_news += heavy ? 1 : 0; });
  }
  std::string Choose(const std::vector<PromptPart>& parts) {
    const LoadBalancer::RequestAttributes attributes = RequestAttributes(parts);
    return load_balancer.Choose(directory.Holders("s", "m", ""), directory, attributes, kSecond)->id;
  }
  std::string Send(const std::vector<PromptPart>& parts, std::int64_t now) {
    LoadBalancer::RequestAttributes attributes = RequestAttributes(parts);
    const Instance* instance =
        load_balancer.Choose(directory.Holders("s", "m", ""), directory, attributes, now);
    REQUIRE(instance != nullptr);
    load_balancer.OnSent(instance->id, attributes, now);
    return instance->id;
  }
  LoadBalancer load_balancer;
  Directory directory = testing::ModelServers(3, 0, 1);
  int heavy_news = 0;
};

}  // namespace

TEST_CASE("What a server has to read adds up, and goes down as time passes") {
  PrefillQueue backlog;
  backlog.OnSent("i-0", 200, kSecond);
  backlog.OnSent("i-0", 100, kSecond + 50'000);
  CHECK(backlog.WaitMs("i-0", kSecond + 50'000) == Approx(250));
  CHECK(backlog.WaitMs("i-0", kSecond + 200'000) == Approx(100));
  CHECK(backlog.WaitMs("i-0", 2 * kSecond) == 0);
  CHECK(backlog.WaitMs("i-1", kSecond) == 0);
  backlog.OnSent("i-0", 100, 3 * kSecond);  // it stood idle meanwhile
  CHECK(backlog.WaitMs("i-0", 3 * kSecond) == Approx(100));
}

TEST_CASE("A first byte shows that its prompt and those before it were read, sooner or later than expected") {
  PrefillQueue backlog;
  backlog.OnSent("i-0", 200, kSecond);
  backlog.OnSent("i-0", 300, kSecond + 1);
  backlog.OnSent("i-0", 50, kSecond + 2);
  backlog.OnRead("i-0", kSecond + 1, kSecond + 100'000);
  CHECK(backlog.WaitMs("i-0", kSecond + 100'000) == Approx(50));
  backlog.OnSent("i-0", 100, kSecond + 200'000);
  backlog.OnRead("i-0", kSecond + 2, 2 * kSecond);  // slower than expected: the last one is yet to be read
  CHECK(backlog.WaitMs("i-0", 2 * kSecond) == Approx(100));
  backlog.OnRead("i-1", kSecond, kSecond);
  CHECK(backlog.WaitMs("i-1", kSecond) == 0);
}

TEST_CASE("What was sent long ago is forgotten") {
  PrefillQueue backlog;
  backlog.OnSent("i-0", 200, kSecond);
  backlog.Expire(20 * kSecond);
  backlog.OnSent("i-0", 100, 20 * kSecond);
  backlog.OnRead("i-0", 0, 20 * kSecond);
  CHECK(backlog.WaitMs("i-0", 20 * kSecond) == Approx(100));
}

TEST_CASE("Sidecars that hear of each other do not send long prompts to the same idle server") {
  Sidecar first(1);
  Sidecar second(1);
  const std::string taken = first.Send({{"a", 9000}}, kSecond);
  CHECK(first.heavy_news == 1);
  // A prompt that the second sidecar, which sees its own requests alone, sends there too.
  std::vector<PromptPart> parts;
  for (int i = 0; second.Choose(parts) != taken; ++i) {
    REQUIRE(i < 100);
    parts = {{"b" + std::to_string(i), 6000}, {"own", 3000}};
  }
  second.load_balancer.OnReport(first.load_balancer.TakeReport(), kSecond);
  CHECK(second.Choose(parts) != taken);
}

TEST_CASE("What another sidecar's prompt left at a server draws the next one with the same parts there") {
  const std::vector<PromptPart> before{{"shared", 6300}, {"one", 2000}};
  const std::vector<PromptPart> after{{"shared", 6300}, {"two", 2000}};
  for (const char* id : {"i-0", "i-1", "i-2"}) {
    Sidecar first(1);
    Sidecar second(2);
    LoadBalancer::RequestAttributes attributes = RequestAttributes(before);
    first.load_balancer.OnSent(id, attributes, kSecond);
    second.load_balancer.OnReport(first.load_balancer.TakeReport(), kSecond);
    CHECK(second.Send(after, 2 * kSecond) == id);
  }
}

TEST_CASE("A report holds the prompts sent since the last one, and what cannot be so is not believed") {
  Sidecar sidecar(1);
  const std::vector<PromptPart> parts{{"5c1e07a2", 800}, {"91bd3f06", 410}};
  const std::string taken = sidecar.Send(parts, kSecond);
  LoadReport report = sidecar.load_balancer.TakeReport();
  REQUIRE(report.prompts.size() == 1);
  CHECK(report.prompts[0].server == taken);
  CHECK(report.prompts[0].weights == "m");
  CHECK(report.prompts[0].parts == "5c1e07a2:800,91bd3f06:410");
  CHECK(report.prompts[0].read_ms > 0);
  CHECK(sidecar.load_balancer.TakeReport().prompts.empty());

  Sidecar other(1);
  for (const double ms : {-1.0, 1e9}) {
    report.prompts[0].read_ms = ms;
    other.load_balancer.OnReport(report, kSecond);
  }
  LoadBalancer::RequestAttributes attributes = RequestAttributes(parts);
  other.load_balancer.OnSent(taken, attributes, kSecond);
  CHECK(attributes.before_ms == 0);
}

TEST_CASE("How fast a model's prompts are read is learnt from those that waited for little else") {
  Sidecar sidecar(1);
  const std::vector<PromptPart> parts{{"a", 4000}};
  const std::vector<PromptPart> others{{"b", 4000}};
  LoadBalancer::RequestAttributes first = RequestAttributes(parts);
  sidecar.load_balancer.OnSent("i-0", first, kSecond);
  LoadBalancer::RequestAttributes second = RequestAttributes(others);
  sidecar.load_balancer.OnSent("i-0", second, kSecond);
  CHECK(second.before_ms == Approx(first.unread_ms));
  LoadBalancer::RequestAttributes third;
  const auto first_byte = [&](const LoadBalancer::RequestAttributes& attributes, bool runs,
                              std::int64_t after_ms) {
    sidecar.load_balancer.OnFirstByte("i-0", attributes, runs, kSecond + after_ms * 1000);
  };
  const double unknown = first.unread_ms / first.unread_tokens;
  first_byte(second, true, 100);  // it waited for the first one
  first_byte(first, false, 40);   // refused
  first_byte(first, true, 10);    // too fast: it was kept there
  sidecar.load_balancer.OnSent("i-1", third = RequestAttributes(others), kSecond);
  CHECK(third.unread_ms / third.unread_tokens == Approx(unknown));
  first_byte(first, true, 40);
  sidecar.load_balancer.OnSent("i-2", third = RequestAttributes(others), kSecond);
  CHECK(third.unread_ms / third.unread_tokens == Approx(0.01));
}

TEST_CASE("Neighbors are the sidecars with the nearest numbers on both sides, the same at every process") {
  SidecarRegistry one;
  SidecarRegistry other;
  const auto address = [](int i) { return "10.0.0." + std::to_string(i) + ":7660"; };
  for (int i = 10; i < 60; ++i) one.OnWatch("edge-" + std::to_string(i), address(i), kSecond);
  for (const SidecarLastSeen& seen : one.LastSeenSince(0, kSecond)) other.MergeLastSeen(seen, kSecond);
  const Neighbors neighbors = one.NeighborsOf("edge-30", kSecond);
  REQUIRE(neighbors.addresses.size() == 24);
  for (int i = 18; i <= 42; ++i) {
    const auto& all = neighbors.addresses;
    CHECK(std::count(all.begin(), all.end(), address(i)) == (i == 30 ? 0 : 1));
  }
  CHECK(other.NeighborsOf("edge-30", kSecond).hash == neighbors.hash);
  CHECK(one.NeighborsOf("edge-10", kSecond).addresses[1] == address(59));
  CHECK(one.NeighborsOf("edge-31", kSecond).hash != neighbors.hash);
}

TEST_CASE("A sidecar has no neighbor twice, and none where it is alone or its neighbors take no reports") {
  SidecarRegistry sidecars;
  CHECK(sidecars.NeighborsOf("a", kSecond).addresses.empty());
  sidecars.OnWatch("a", "10.0.0.1:1", kSecond);
  CHECK(sidecars.NeighborsOf("a", kSecond).addresses.empty());
  CHECK(sidecars.NeighborsOf("a", kSecond).hash == 0);
  sidecars.OnWatch("b", "", kSecond);
  CHECK(sidecars.NeighborsOf("a", kSecond).addresses.empty());
  sidecars.OnWatch("c", "10.0.0.3:1", kSecond);
  CHECK(sidecars.NeighborsOf("a", kSecond).addresses == std::vector<std::string>{"10.0.0.3:1"});
  CHECK(sidecars.NeighborsOf("a", 60 * kSecond).addresses.empty());
}

TEST_CASE("Where only some sidecars tell of their prompts, each stands for those that do not") {
  Sidecar first(1);
  Sidecar second(1);
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::string taken = first.Send(parts, kSecond);
  second.load_balancer.SetReportWeight(3);
  second.load_balancer.OnReport(first.load_balancer.TakeReport(), kSecond);
  LoadBalancer::RequestAttributes attributes = RequestAttributes(parts);
  second.load_balancer.OnSent(taken, attributes, kSecond);
  CHECK(attributes.before_ms == Approx(9000 * 0.034 * 3).margin(3));
}

TEST_CASE("Reports go over datagrams; what is no report is passed over") {
  boost::asio::io_context io;
  const std::string address = FreeAddress(io);
  Sidecar told(1);
  LoadReportExchange receiver(io, "receiver", told.load_balancer);
  REQUIRE_FALSE(receiver.Start(address));

  boost::asio::ip::udp::socket stranger(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
  const boost::asio::ip::udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), port);
  for (const std::string& text : {std::string("{"), std::string("[1]"), std::string("{\"node\":\"x\"}"),
                                  std::string(9000, 'x'), std::string()})
    stranger.send_to(boost::asio::buffer(text), to);

  Sidecar telling(1);
  LoadReportExchange sender(io, "sender", telling.load_balancer);
  REQUIRE_FALSE(sender.Start(FreeAddress(io)));
  sender.SetNeighbors({address, "not an address"});
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::vector<PromptPart> others{{"b", 9000}};
  const std::string taken = telling.Send(parts, SteadyMicros());
  const auto avoided = [&] {
    LoadBalancer::RequestAttributes attributes = RequestAttributes(others);
    int to_taken = 0;
    for (int i = 0; i < 30; ++i) {
      const auto holders = told.directory.Holders("s", "m", "");
      to_taken +=
          told.load_balancer.Choose(holders, told.directory, attributes, SteadyMicros())->id == taken ? 1 : 0;
    }
    return to_taken == 0;
  };
  CHECK(RunUntil(io, avoided));
  sender.Stop();
  receiver.Stop();
}

TEST_CASE("An answer of a control process that knows of no neighbors is taken") {
  const wire::PullReply form;
  const auto without = [&](const char* field) {
    return testing::Without(form, form.GetDescriptor()->FindFieldByName(field), Encode(WatchReply()));
  };
  SystemView view("edge", "10.0.0.1:1");
  WatchReply reply = Decode<WatchReply>(without("neighbors")).value();
  CHECK_FALSE(view.Take(reply));
  CHECK(view.neighbors().empty());
  reply.neighbors = {5, {"10.0.0.2:1"}};
  CHECK(view.Take(reply));
  CHECK(view.neighbors() == std::vector<std::string>{"10.0.0.2:1"});
  CHECK(view.NextPull(0, {}).neighbors_hash == 5);
  reply.neighbors = {5, {}};  // the same still
  CHECK_FALSE(view.Take(reply));
  CHECK(view.neighbors().size() == 1);
  CHECK_FALSE(Decode<WatchReply>(without("changed")));
}

}  // namespace violetwing
