// Tests of ControlLink against a scripted control process whose replies may be invalid or outdated.
#include "dataplane/control_client/control_link.hpp"

#include <catch2/catch.hpp>
#include <deque>

#include "common/steady_time.hpp"
#include "sidecar/scripted_peers.hpp"
#include "testing/wire_fields.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::Reply;
using violetwing::sidecar::testing::RunUntil;
using violetwing::sidecar::testing::ScriptedServer;

std::string Document(std::int64_t version) {
  return json{{"version", version},
              {"routes", json::array()},
              {"backends", {{{"name", "s"}, {"health_check", "/healthz"}}}}}
      .dump();
}

Instance Server(Phase phase, std::int64_t sequence, std::uint64_t counter) {
  Instance instance;
  instance.id = "i";
  instance.backend = "s";
  instance.address = "10.0.0.1:80";
  instance.phase = phase;
  instance.sequence = sequence;
  instance.origin = "control";
  instance.counter = counter;
  return instance;
}

// A valid reply with one instance.
WatchReply ValidReply(std::int64_t version, const Instance& instance) {
  WatchReply reply;
  reply.incarnation = "control";
  reply.configuration_version = version;
  reply.configuration_document = Document(version);
  reply.changed_instances = {instance};
  reply.version_vector = {{"control", instance.counter}};
  return reply;
}

// A ControlLink whose only control process sends scripted responses, one for each watch request.
class LinkFixture {
 public:
  // `revoke_ms`: time limit for a key revocation to take effect; 0: none.
  explicit LinkFixture(std::int64_t revoke_ms = 0)
      : control_(io_, [this](Peer& peer) { Respond(peer); }),
        link_(io_, Settings(control_.address.port(), revoke_ms), [this](DirectoryPtr directory) {
          if (directory->version() < version_) ++version_decreases_;
          version_ = directory->version();
          directory_ = std::move(directory);
        }) {}
  ~LinkFixture() { link_.Stop(); }

  // Sends `responses` in order, and waits until the link has processed the last one.
  void Play(std::deque<std::string> responses) {
    responses_ = std::move(responses);
    link_.Start();
    RunUntil(io_, [this] { return responses_.empty() && further_requests_ > 0; });
  }
  std::int64_t version() const { return version_; }
  int version_decreases() const { return version_decreases_; }
  bool HasRecentQuorumAnswer(Micros later = 0) const {
    return link_.HasRecentQuorumAnswer(SteadyMicros() + later);
  }
  bool MayTrustKeys(Micros later = 0) const { return link_.MayTrustKeys(SteadyMicros() + later); }
  bool HasReadyServer() const { return directory_ != nullptr && directory_->Servers("s").size() == 1; }

 private:
  static NodeSettings Settings(int port, std::int64_t revoke_ms) {
    NodeSettings settings;
    settings.revoked_keys = revoke_ms > 0;
    settings.revoke_ms = revoke_ms;
    settings.node_name = "edge";
    settings.internal_port = port;
    settings.seeds = {"127.0.0.1:1"};
    return settings;
  }
  void Respond(Peer& peer) {
    if (responses_.empty()) {  // a further watch request shows that the last response was processed
      ++further_requests_;
      return;
    }
    peer.Write(responses_.front());
    responses_.pop_front();
    peer.Close();
  }

  boost::asio::io_context io_;
  std::deque<std::string> responses_;
  ScriptedServer control_;
  ControlLink link_;
  DirectoryPtr directory_;
  std::int64_t version_ = 0;
  int version_decreases_ = 0;
  int further_requests_ = 0;
};

std::string Ok(const std::string& body) { return Reply("200 OK", body); }
std::string Ok(const WatchReply& reply) { return Ok(Encode(reply)); }
std::string NoQuorumResponse() { return Reply("503 Service Unavailable", "{}\n"); }

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("A link applies newer configurations and never goes back to an older one") {
  LinkFixture link;
  link.Play({Ok(ValidReply(5, Server(Phase::kReady, 1, 1))), Ok(ValidReply(3, Server(Phase::kReady, 2, 2))),
             Ok(ValidReply(5, Server(Phase::kReady, 3, 3))), Ok(ValidReply(8, Server(Phase::kReady, 4, 4)))});
  CHECK(link.version() == 8);
  CHECK(link.version_decreases() == 0);
  CHECK(link.HasReadyServer());
}

TEST_CASE("A watch reply with an invalid or missing field does not affect later replies") {
  const wire::PullReply prototype;
  WatchReply valid = ValidReply(9, Server(Phase::kReady, 2, 2));
  valid.configuration_document = "{";  // so that no variant of this reply can be applied
  const std::string bytes = Encode(valid);
  std::vector<std::string> invalid_responses = {
      Reply("503 Service Unavailable", "{}\n"), Ok("{}"), Ok("[]"), "", "not HTTP\r\n\r\n",
      Ok(bytes.substr(0, bytes.size() / 2))};
  for (const auto* field : testing::FieldsOf(prototype)) {
    invalid_responses.push_back(Ok(testing::Without(prototype, field, bytes)));
    invalid_responses.push_back(Ok(testing::WithOtherType(prototype, field, bytes)));
  }
  for (const std::string& response : invalid_responses) {
    INFO(response);
    LinkFixture link;
    link.Play({Ok(ValidReply(5, Server(Phase::kReady, 1, 1))), response,
               Ok(ValidReply(6, Server(Phase::kReady, 3, 3)))});
    CHECK(link.version() == 6);
    CHECK(link.version_decreases() == 0);
    CHECK(link.HasReadyServer());
  }
}

TEST_CASE("A patch that refers to an item by an invalid name is ignored") {
  WatchReply invalid = ValidReply(6, Server(Phase::kReady, 2, 2));
  invalid.configuration_document.clear();
  invalid.configuration_patches = {R"({"version":6,"delete":{"routes":[7]}})"};
  LinkFixture link;
  link.Play({Ok(ValidReply(5, Server(Phase::kReady, 1, 1))), Ok(invalid),
             Ok(ValidReply(7, Server(Phase::kReady, 3, 3)))});
  CHECK(link.version() == 7);
  CHECK(link.version_decreases() == 0);
}

TEST_CASE("A draining server is not made ready again by an older watch reply") {
  LinkFixture link;
  link.Play({Ok(ValidReply(5, Server(Phase::kReady, 4, 1))),
             Ok(ValidReply(5, Server(Phase::kDraining, 3, 2))),
             Ok(ValidReply(5, Server(Phase::kReady, 5, 3)))});
  CHECK_FALSE(link.HasReadyServer());
}

TEST_CASE("A full list replaces that of another control process, but draining servers stay draining") {
  WatchReply full_list = ValidReply(5, Server(Phase::kReady, 3, 1));
  full_list.incarnation = "another";
  full_list.complete = true;
  LinkFixture after_loss;
  after_loss.Play({Ok(ValidReply(5, Server(Phase::kLost, 4, 1))), Ok(full_list)});
  CHECK(after_loss.HasReadyServer());
  LinkFixture after_drain;
  after_drain.Play({Ok(ValidReply(5, Server(Phase::kDraining, 4, 1))), Ok(full_list)});
  CHECK_FALSE(after_drain.HasReadyServer());
}

TEST_CASE("DENIED: a link has a recent quorum answer for 1.5 s after each successful watch reply") {
  LinkFixture without_quorum;
  CHECK_FALSE(without_quorum.HasRecentQuorumAnswer());
  without_quorum.Play({NoQuorumResponse()});
  CHECK_FALSE(without_quorum.HasRecentQuorumAnswer());
  LinkFixture link;
  link.Play({Ok(ValidReply(5, Server(Phase::kReady, 1, 1)))});
  CHECK(link.HasRecentQuorumAnswer());
  CHECK_FALSE(link.HasRecentQuorumAnswer(1'500'000));
}

TEST_CASE(
    "DENIED: a watch reply that announces a newer configuration without sending it does not count as a "
    "recent quorum answer") {
  WatchReply deferred = ValidReply(6, Server(Phase::kReady, 1, 1));
  deferred.configuration_document.clear();
  LinkFixture link;
  link.Play({Ok(deferred)});
  CHECK_FALSE(link.HasRecentQuorumAnswer());
}

TEST_CASE("CONFIG: with a revocation limit, keys are trusted for less than that limit after a watch reply") {
  LinkFixture link(5000);
  CHECK_FALSE(link.MayTrustKeys());
  CHECK_FALSE(link.MayTrustKeys(-SteadyMicros()));  // at steady time 0, as on a machine that has just booted
  link.Play({Ok(ValidReply(5, Server(Phase::kReady, 1, 1)))});
  CHECK(link.MayTrustKeys());
  CHECK(link.MayTrustKeys(2 * kSecond));
  CHECK_FALSE(link.MayTrustKeys(5 * kSecond - 900'000));  // a reply may reflect state of that age
}

TEST_CASE("CONFIG: without a revocation limit, keys are trusted without any watch reply") {
  const LinkFixture link;
  CHECK(link.MayTrustKeys());
  CHECK(link.MayTrustKeys(100 * kSecond));
}

TEST_CASE("A duplicated watch reply is applied once") {
  LinkFixture link;
  const std::string response = Ok(ValidReply(5, Server(Phase::kReady, 1, 1)));
  link.Play({response, response, response});
  CHECK(link.version() == 5);
  CHECK(link.HasReadyServer());
}

}  // namespace violetwing
