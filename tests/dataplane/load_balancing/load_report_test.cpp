// Load reports between sidecars: what they say, how they are exchanged, and their effect on server picks.
#include <catch2/catch.hpp>

#include "common/steady_time.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "dataplane/load_balancing/load_report_exchange.hpp"
#include "sidecar/scripted_peers.hpp"
#include "testing/model_servers.hpp"
#include "testing/wire_fields.hpp"

namespace violetwing {
namespace {

using violetwing::sidecar::testing::RunUntil;

constexpr std::int64_t kSecond = 1'000'000;

RequestAttributes AttributesOf(const std::vector<PromptPart>& parts) {
  RequestAttributes attributes;
  attributes.model = "m";
  attributes.prompt_parts = &parts;
  for (const PromptPart& part : parts) attributes.prompt_tokens += part.tokens;
  return attributes;
}

std::string FreeAddress(boost::asio::io_context& io) {
  const boost::asio::ip::udp::socket free(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

// A sidecar's choices, whose reports the test delivers to others.
struct Sidecar {
  explicit Sidecar(std::uint64_t seed) : load_balancer(seed) {
    load_balancer.SetOnReportPending(
        [this](ReportUrgency urgency) { immediate_reports += urgency == ReportUrgency::kImmediate ? 1 : 0; });
  }
  std::string PickServer(const std::vector<PromptPart>& parts) {
    const RequestAttributes attributes = AttributesOf(parts);
    return load_balancer.PickServer(directory.ServersWithModel("s", "m", ""), directory, attributes, kSecond)
        ->id;
  }
  std::string Send(const std::vector<PromptPart>& parts, std::int64_t now) {
    RequestAttributes attributes = AttributesOf(parts);
    const Instance* instance =
        load_balancer.PickServer(directory.ServersWithModel("s", "m", ""), directory, attributes, now);
    REQUIRE(instance != nullptr);
    load_balancer.OnSent(instance->id, attributes, now);
    return instance->id;
  }
  LoadBalancer load_balancer;
  Directory directory = testing::ModelServers(3, 0, 1);
  int immediate_reports = 0;
};

}  // namespace

TEST_CASE("Sidecars that exchange load reports do not send long prompts to the same idle server") {
  Sidecar first(1);
  Sidecar second(1);
  const std::string taken = first.Send({{"a", 9000}}, kSecond);
  CHECK(first.immediate_reports == 1);
  // A prompt that the second sidecar, which sees its own requests alone, sends there too.
  std::vector<PromptPart> parts;
  for (int i = 0; second.PickServer(parts) != taken; ++i) {
    REQUIRE(i < 100);
    parts = {{"b" + std::to_string(i), 6000}, {"own", 3000}};
  }
  second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
  CHECK(second.PickServer(parts) != taken);
}

TEST_CASE("A prefix cached for another sidecar's prompt attracts requests that share it") {
  const std::vector<PromptPart> before{{"shared", 6300}, {"one", 2000}};
  const std::vector<PromptPart> after{{"shared", 6300}, {"two", 2000}};
  for (const char* id : {"i-0", "i-1", "i-2"}) {
    Sidecar first(1);
    Sidecar second(2);
    RequestAttributes attributes = AttributesOf(before);
    first.load_balancer.OnSent(id, attributes, kSecond);
    second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
    CHECK(second.Send(after, 2 * kSecond) == id);
  }
}

TEST_CASE("A report lists the prompts sent since the last one, and implausible ones are ignored") {
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
    other.load_balancer.OnPeerReport(report, kSecond);
  }
  RequestAttributes attributes = AttributesOf(parts);
  other.load_balancer.OnSent(taken, attributes, kSecond);
  CHECK(attributes.queued_prefill_ms == 0);
}

TEST_CASE("Prefill speed is learned only from requests that waited for little else") {
  Sidecar sidecar(1);
  const std::vector<PromptPart> parts{{"a", 4000}};
  const std::vector<PromptPart> others{{"b", 4000}};
  RequestAttributes first = AttributesOf(parts);
  sidecar.load_balancer.OnSent("i-0", first, kSecond);
  RequestAttributes second = AttributesOf(others);
  sidecar.load_balancer.OnSent("i-0", second, kSecond);
  CHECK(second.queued_prefill_ms == Approx(first.uncached_prefill_ms));
  RequestAttributes third;
  const auto first_byte = [&](const RequestAttributes& attributes, FirstByteKind kind,
                              std::int64_t after_ms) {
    sidecar.load_balancer.OnFirstByte("i-0", attributes, kind, kSecond + after_ms * 1000);
  };
  const double unknown = first.uncached_prefill_ms / first.uncached_prompt_tokens;
  first_byte(second, FirstByteKind::kExecuting, 100);  // it waited behind the first one
  first_byte(first, FirstByteKind::kOther, 40);        // rejected
  first_byte(first, FirstByteKind::kExecuting, 10);    // too fast: the prefix was cached
  sidecar.load_balancer.OnSent("i-1", third = AttributesOf(others), kSecond);
  CHECK(third.uncached_prefill_ms / third.uncached_prompt_tokens == Approx(unknown));
  first_byte(first, FirstByteKind::kExecuting, 40);
  sidecar.load_balancer.OnSent("i-2", third = AttributesOf(others), kSecond);
  CHECK(third.uncached_prefill_ms / third.uncached_prompt_tokens == Approx(0.01));
}

TEST_CASE("Neighbors are the sidecars with the nearest numbers on both sides, equal at every process") {
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

TEST_CASE("Neighbors are distinct, and only sidecars that receive reports") {
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

TEST_CASE("A report stands for the prompts of the sidecars that do not report here") {
  Sidecar first(1);
  Sidecar second(1);
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::string taken = first.Send(parts, kSecond);
  second.load_balancer.SetSidecarsPerReport(3);
  second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
  RequestAttributes attributes = AttributesOf(parts);
  second.load_balancer.OnSent(taken, attributes, kSecond);
  CHECK(attributes.queued_prefill_ms == Approx(9000 * 0.034 * 3).margin(3));
}

TEST_CASE("Load reports are exchanged as datagrams, and malformed ones are ignored") {
  boost::asio::io_context io;
  const std::string address = FreeAddress(io);
  Sidecar receiving(1);
  LoadReportExchange receiver(io, "receiver", receiving.load_balancer);
  REQUIRE_FALSE(receiver.Start(address));

  boost::asio::ip::udp::socket stranger(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
  const boost::asio::ip::udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), port);
  for (const std::string& text : {std::string("{"), std::string("[1]"), std::string("{\"node\":\"x\"}"),
                                  std::string(9000, 'x'), std::string()})
    stranger.send_to(boost::asio::buffer(text), to);

  Sidecar sending(1);
  LoadReportExchange sender(io, "sender", sending.load_balancer);
  REQUIRE_FALSE(sender.Start(FreeAddress(io)));
  sender.SetNeighbors({address, "not an address"});
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::vector<PromptPart> others{{"b", 9000}};
  const std::string taken = sending.Send(parts, SteadyMicros());
  const auto avoided = [&] {
    RequestAttributes attributes = AttributesOf(others);
    int to_taken = 0;
    for (int i = 0; i < 30; ++i) {
      const auto holders = receiving.directory.ServersWithModel("s", "m", "");
      to_taken +=
          receiving.load_balancer.PickServer(holders, receiving.directory, attributes, SteadyMicros())->id ==
                  taken
              ? 1
              : 0;
    }
    return to_taken == 0;
  };
  CHECK(RunUntil(io, avoided));
  sender.Stop();
  receiver.Stop();
}

TEST_CASE("A watch reply without neighbors is accepted") {
  const wire::PullReply form;
  const auto without = [&](const char* field) {
    return testing::Without(form, form.GetDescriptor()->FindFieldByName(field), Encode(WatchReply()));
  };
  SystemView view("edge", "10.0.0.1:1");
  WatchReply reply = Decode<WatchReply>(without("neighbors")).value();
  CHECK_FALSE(view.Apply(reply));
  CHECK(view.neighbors().empty());
  reply.neighbors = {5, {"10.0.0.2:1"}};
  CHECK(view.Apply(reply));
  CHECK(view.neighbors() == std::vector<std::string>{"10.0.0.2:1"});
  CHECK(view.NextWatchRequest(0, {}).neighbors_hash == 5);
  reply.neighbors = {5, {}};  // the same still
  CHECK_FALSE(view.Apply(reply));
  CHECK(view.neighbors().size() == 1);
  CHECK_FALSE(Decode<WatchReply>(without("changed")));
}

}  // namespace violetwing
