// Load reports between sidecars: their contents, their exchange, and their effect on the picked servers.
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

RequestAttributes MakeAttributes(const std::vector<PromptPart>& parts) {
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

// The load balancer of one sidecar, whose reports the tests deliver to other sidecars.
struct Sidecar {
  explicit Sidecar(std::uint64_t seed) : load_balancer(seed) {
    load_balancer.SetOnReportPending(
        [this](ReportUrgency urgency) { immediate_reports += urgency == ReportUrgency::kImmediate ? 1 : 0; });
  }
  std::string PickServer(const std::vector<PromptPart>& parts) {
    const RequestAttributes attributes = MakeAttributes(parts);
    return load_balancer.PickServer(directory.ServersWithModel("s", "m", ""), directory, attributes, kSecond)
        ->id;
  }
  std::string Send(const std::vector<PromptPart>& parts, std::int64_t now) {
    RequestAttributes attributes = MakeAttributes(parts);
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
  const std::string busy_server = first.Send({{"a", 9000}}, kSecond);
  CHECK(first.immediate_reports == 1);
  // Finds a prompt that the second sidecar, which sees only its own requests, sends to the same server.
  std::vector<PromptPart> parts;
  for (int i = 0; second.PickServer(parts) != busy_server; ++i) {
    REQUIRE(i < 100);
    parts = {{"b" + std::to_string(i), 6000}, {"own", 3000}};
  }
  second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
  CHECK(second.PickServer(parts) != busy_server);
}

TEST_CASE("A prefix cached for another sidecar's prompt attracts requests that share it") {
  const std::vector<PromptPart> before{{"shared", 6300}, {"one", 2000}};
  const std::vector<PromptPart> after{{"shared", 6300}, {"two", 2000}};
  for (const char* id : {"i-0", "i-1", "i-2"}) {
    Sidecar first(1);
    Sidecar second(2);
    RequestAttributes attributes = MakeAttributes(before);
    first.load_balancer.OnSent(id, attributes, kSecond);
    second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
    CHECK(second.Send(after, 2 * kSecond) == id);
  }
}

TEST_CASE("A report lists the prompts sent since the last one, and implausible ones are ignored") {
  Sidecar sidecar(1);
  const std::vector<PromptPart> parts{{"5c1e07a2", 800}, {"91bd3f06", 410}};
  const std::string busy_server = sidecar.Send(parts, kSecond);
  LoadReport report = sidecar.load_balancer.TakeReport();
  REQUIRE(report.prompts.size() == 1);
  CHECK(report.prompts[0].server == busy_server);
  CHECK(report.prompts[0].weights == "m");
  CHECK(report.prompts[0].parts == "5c1e07a2:800,91bd3f06:410");
  CHECK(report.prompts[0].read_ms > 0);
  CHECK(sidecar.load_balancer.TakeReport().prompts.empty());

  Sidecar other(1);
  for (const double ms : {-1.0, 1e9}) {
    report.prompts[0].read_ms = ms;
    other.load_balancer.OnPeerReport(report, kSecond);
  }
  RequestAttributes attributes = MakeAttributes(parts);
  other.load_balancer.OnSent(busy_server, attributes, kSecond);
  CHECK(attributes.queued_prefill_ms == 0);
}

TEST_CASE("Prefill speed is estimated only from reliable samples") {
  Sidecar sidecar(1);
  const std::vector<PromptPart> parts{{"a", 4000}};
  const std::vector<PromptPart> other_parts{{"b", 4000}};
  RequestAttributes first = MakeAttributes(parts);
  sidecar.load_balancer.OnSent("i-0", first, kSecond);
  RequestAttributes second = MakeAttributes(other_parts);
  sidecar.load_balancer.OnSent("i-0", second, kSecond);
  CHECK(second.queued_prefill_ms == Approx(first.uncached_prefill_ms));
  RequestAttributes third;
  const auto first_byte = [&](const RequestAttributes& attributes, FirstByteKind kind,
                              std::int64_t after_ms) {
    sidecar.load_balancer.OnFirstByte("i-0", attributes, kind, kSecond + after_ms * 1000);
  };
  const double default_ms_per_token = first.uncached_prefill_ms / first.uncached_prompt_tokens;
  first_byte(second, FirstByteKind::kExecuting, 100);  // queued behind the first one
  first_byte(first, FirstByteKind::kOther, 40);        // rejected
  first_byte(first, FirstByteKind::kExecuting, 10);    // too fast: the prefix was cached
  sidecar.load_balancer.OnSent("i-1", third = MakeAttributes(other_parts), kSecond);
  CHECK(third.uncached_prefill_ms / third.uncached_prompt_tokens == Approx(default_ms_per_token));
  first_byte(first, FirstByteKind::kExecuting, 40);
  sidecar.load_balancer.OnSent("i-2", third = MakeAttributes(other_parts), kSecond);
  CHECK(third.uncached_prefill_ms / third.uncached_prompt_tokens == Approx(0.01));
}

TEST_CASE(
    "Neighbors are the sidecars with the nearest numbers on both sides, the same at every control process") {
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

TEST_CASE("A report is scaled up for the sidecars that do not report to this one") {
  Sidecar first(1);
  Sidecar second(1);
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::string busy_server = first.Send(parts, kSecond);
  second.load_balancer.SetSidecarsPerReport(3);
  second.load_balancer.OnPeerReport(first.load_balancer.TakeReport(), kSecond);
  RequestAttributes attributes = MakeAttributes(parts);
  second.load_balancer.OnSent(busy_server, attributes, kSecond);
  CHECK(attributes.queued_prefill_ms == Approx(9000 * 0.034 * 3).margin(3));
}

TEST_CASE("Load reports are exchanged as datagrams, and malformed ones are ignored") {
  boost::asio::io_context io;
  const std::string address = FreeAddress(io);
  Sidecar receiving(1);
  LoadReportExchange receiver(io, "receiver", receiving.load_balancer);
  REQUIRE_FALSE(receiver.Start(address));

  boost::asio::ip::udp::socket malformed_sender(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
  const boost::asio::ip::udp::endpoint receiver_endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
  for (const std::string& text : {std::string("{"), std::string("[1]"), std::string("{\"node\":\"x\"}"),
                                  std::string(9000, 'x'), std::string()})
    malformed_sender.send_to(boost::asio::buffer(text), receiver_endpoint);

  Sidecar sending(1);
  LoadReportExchange sender(io, "sender", sending.load_balancer);
  REQUIRE_FALSE(sender.Start(FreeAddress(io)));
  sender.SetNeighbors({address, "not an address"});
  const std::vector<PromptPart> parts{{"a", 9000}};
  const std::vector<PromptPart> other_parts{{"b", 9000}};
  const std::string busy_server = sending.Send(parts, SteadyMicros());
  const auto avoided = [&] {
    RequestAttributes attributes = MakeAttributes(other_parts);
    int picks_of_busy = 0;
    for (int i = 0; i < 30; ++i) {
      const auto candidates = receiving.directory.ServersWithModel("s", "m", "");
      picks_of_busy +=
          receiving.load_balancer.PickServer(candidates, receiving.directory, attributes, SteadyMicros())
                      ->id == busy_server
              ? 1
              : 0;
    }
    return picks_of_busy == 0;
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
  reply.neighbors = {5, {}};  // the same hash: the addresses are unchanged
  CHECK_FALSE(view.Apply(reply));
  CHECK(view.neighbors().size() == 1);
  CHECK_FALSE(Decode<WatchReply>(without("changed")));
}

TEST_CASE("Reports of servers that do not exist do not fill the memory") {
  LoadBalancer load_balancer(1);
  constexpr int kReports = 10'000;
  constexpr std::size_t kMostServers = 5000;
  for (int i = 0; i < kReports; ++i) {
    LoadReport report;
    report.prompts.push_back({"i-" + std::to_string(i), "m", "p:100", 1});
    load_balancer.OnPeerReport(report, kSecond);
  }
  CHECK(load_balancer.known_servers() <= kMostServers);
  load_balancer.RemoveUnlistedServers(Directory(), kSecond);
  CHECK(load_balancer.known_servers() == 0);
}

}  // namespace violetwing
