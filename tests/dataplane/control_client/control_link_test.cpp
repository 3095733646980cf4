// A sidecar's link to the control plane, before a control process whose answers are changed one at a time.
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

// The answer that a control process gives when nothing is wrong.
WatchReply Good(std::int64_t version, const Instance& instance) {
  WatchReply reply;
  reply.incarnation = "control";
  reply.configuration_version = version;
  reply.configuration_document = Document(version);
  reply.changed_instances = {instance};
  reply.version_vector = {{"control", instance.counter}};
  return reply;
}

// A link before one control process that gives the answers of a list, one a pull.
class Link {
 public:
  // `revoke_ms`: in which revoked keys must stop; 0: they need not.
  explicit Link(std::int64_t revoke_ms = 0)
      : control_(io_, [this](Peer& peer) { Answer(peer); }),
        link_(io_, Settings(control_.address.port(), revoke_ms), [this](DirectoryPtr directory) {
          if (directory->version() < version_) ++went_back_;
          version_ = directory->version();
          directory_ = std::move(directory);
        }) {}
  ~Link() { link_.Stop(); }

  // Plays `answers` and a last one, and waits until that has been taken.
  void Play(std::deque<std::string> answers) {
    answers_ = std::move(answers);
    link_.Start();
    RunUntil(io_, [this] { return answers_.empty() && pulls_after_ > 0; });
  }
  std::int64_t version() const { return version_; }
  int went_back() const { return went_back_; }
  bool HasRecentQuorumAnswer(Micros later = 0) const {
    return link_.HasRecentQuorumAnswer(SteadyMicros() + later);
  }
  bool MayTrustKeys(Micros later = 0) const { return link_.MayTrustKeys(SteadyMicros() + later); }
  bool Serves() const { return directory_ != nullptr && directory_->Servers("s").size() == 1; }

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
  void Answer(Peer& peer) {
    if (answers_.empty()) {  // the last answer has been taken: the next pull has come
      ++pulls_after_;
      return;
    }
    peer.Write(answers_.front());
    answers_.pop_front();
    peer.Close();
  }

  boost::asio::io_context io_;
  std::deque<std::string> answers_;
  ScriptedServer control_;
  ControlLink link_;
  DirectoryPtr directory_;
  std::int64_t version_ = 0;
  int went_back_ = 0;
  int pulls_after_ = 0;
};

std::string Ok(const std::string& body) { return Reply("200 OK", body); }
std::string Ok(const WatchReply& reply) { return Ok(Encode(reply)); }
std::string OutOfTouch() { return Reply("503 Service Unavailable", "{}\n"); }

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("A link applies newer configurations and never goes back to an older one") {
  Link link;
  link.Play({Ok(Good(5, Server(Phase::kReady, 1, 1))), Ok(Good(3, Server(Phase::kReady, 2, 2))),
             Ok(Good(5, Server(Phase::kReady, 3, 3))), Ok(Good(8, Server(Phase::kReady, 4, 4)))});
  CHECK(link.version() == 8);
  CHECK(link.went_back() == 0);
  CHECK(link.Serves());
}

TEST_CASE("A watch reply with a changed or missing field has no other effects") {
  const wire::PullReply form;
  WatchReply good = Good(9, Server(Phase::kReady, 2, 2));
  good.configuration_document = "{";  // so that none of these is a good answer
  const std::string bytes = Encode(good);
  std::vector<std::string> changed = {
      Reply("503 Service Unavailable", "{}\n"), Ok("{}"), Ok("[]"), "", "not HTTP\r\n\r\n",
      Ok(bytes.substr(0, bytes.size() / 2))};
  for (const auto* field : testing::FieldsOf(form)) {
    changed.push_back(Ok(testing::Without(form, field, bytes)));
    changed.push_back(Ok(testing::WithOtherType(form, field, bytes)));
  }
  for (const std::string& answer : changed) {
    INFO(answer);
    Link link;
    link.Play({Ok(Good(5, Server(Phase::kReady, 1, 1))), answer, Ok(Good(6, Server(Phase::kReady, 3, 3)))});
    CHECK(link.version() == 6);
    CHECK(link.went_back() == 0);
    CHECK(link.Serves());
  }
}

TEST_CASE("A patch that names an item by an invalid name is ignored") {
  WatchReply odd = Good(6, Server(Phase::kReady, 2, 2));
  odd.configuration_document.clear();
  odd.configuration_patches = {R"({"version":6,"delete":{"routes":[7]}})"};
  Link link;
  link.Play({Ok(Good(5, Server(Phase::kReady, 1, 1))), Ok(odd), Ok(Good(7, Server(Phase::kReady, 3, 3)))});
  CHECK(link.version() == 7);
  CHECK(link.went_back() == 0);
}

TEST_CASE("A draining server is not made ready again by an older watch reply") {
  Link link;
  link.Play({Ok(Good(5, Server(Phase::kReady, 4, 1))), Ok(Good(5, Server(Phase::kDraining, 3, 2))),
             Ok(Good(5, Server(Phase::kReady, 5, 3)))});
  CHECK_FALSE(link.Serves());
}

TEST_CASE("A full list replaces that of another control process, but keeps servers draining") {
  WatchReply whole = Good(5, Server(Phase::kReady, 3, 1));
  whole.incarnation = "another";
  whole.complete = true;
  Link lost;
  lost.Play({Ok(Good(5, Server(Phase::kLost, 4, 1))), Ok(whole)});
  CHECK(lost.Serves());
  Link leaving;
  leaving.Play({Ok(Good(5, Server(Phase::kDraining, 4, 1))), Ok(whole)});
  CHECK_FALSE(leaving.Serves());
}

TEST_CASE(
    "DENIED: a link is in touch from the first answer of a control process on, for 1.5 s without another") {
  Link refused;
  CHECK_FALSE(refused.HasRecentQuorumAnswer());
  refused.Play({OutOfTouch()});
  CHECK_FALSE(refused.HasRecentQuorumAnswer());
  Link link;
  link.Play({Ok(Good(5, Server(Phase::kReady, 1, 1)))});
  CHECK(link.HasRecentQuorumAnswer());
  CHECK_FALSE(link.HasRecentQuorumAnswer(1'500'000));
}

TEST_CASE(
    "DENIED: an answer that tells of a configuration and does not bring it is no proof of being in touch") {
  WatchReply deferred = Good(6, Server(Phase::kReady, 1, 1));
  deferred.configuration_document.clear();
  Link link;
  link.Play({Ok(deferred)});
  CHECK_FALSE(link.HasRecentQuorumAnswer());
}

TEST_CASE("CONFIG: keys that may be revoked are trusted for less than their bound after an answer") {
  Link link(5000);
  CHECK_FALSE(link.MayTrustKeys());
  CHECK_FALSE(link.MayTrustKeys(-SteadyMicros()));  // on a machine that has just started
  link.Play({Ok(Good(5, Server(Phase::kReady, 1, 1)))});
  CHECK(link.MayTrustKeys());
  CHECK(link.MayTrustKeys(2 * kSecond));
  CHECK_FALSE(link.MayTrustKeys(5 * kSecond - 900'000));  // what was answered may have been that old
}

TEST_CASE("CONFIG: keys that cannot be revoked at once are trusted without an answer") {
  const Link link;
  CHECK(link.MayTrustKeys());
  CHECK(link.MayTrustKeys(100 * kSecond));
}

TEST_CASE("A duplicated watch reply is applied once") {
  Link link;
  const std::string answer = Ok(Good(5, Server(Phase::kReady, 1, 1)));
  link.Play({answer, answer, answer});
  CHECK(link.version() == 5);
  CHECK(link.Serves());
}

}  // namespace violetwing
