// The registry on sockets: lists and watches in the platform's protocol, writes as JSON over HTTP/1.1. One
// loop; what is decided is the core's, what is durable the store's.
#ifndef VIOLETWING_REGISTRY_SERVICE_HPP_
#define VIOLETWING_REGISTRY_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "registry/core.hpp"
#include "registry/figures.hpp"
#include "registry/peers.hpp"
#include "registry/role/core.hpp"
#include "registry/store.hpp"

namespace violetwing::registry {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

struct ServiceConfig {
  Tcp::endpoint listen;
  std::string store;      // file
  std::string snapshots;  // directory for those asked for over the network; empty = none are made
  std::int64_t epoch = 0;
  std::size_t most_connections = 20'000;
  std::size_t most_watchers = 10'000;
  Micros stall = 10'000'000;          // a watcher that takes nothing for so long is cut off
  std::string log;                    // file; empty = none
  std::string name;                   // among the registries; empty = its address
  std::vector<Tcp::endpoint> others;  // the other registries; empty = it is alone, and asks nobody
  bool follows = false;               // the role of a store that has none yet
  RoleCore::Timing timing;
  Limits limits;
};

// From TOML. Throws std::runtime_error with file, line and key in one line.
ServiceConfig LoadServiceConfig(const std::string& file);

class Session;

class Service {
 public:
  // Opens the store. Throws StoreError.
  Service(asio::io_context& io, ServiceConfig config);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // Listens. Throws boost::system::system_error if the address cannot be had.
  void Start();
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  const Core& core() const { return core_; }
  Role role() const { return role_.role(); }

 private:
  friend class Session;

  struct Answer {
    int status = 200;
    std::string body;
    const char* type = "application/json";
  };
  using Text = std::shared_ptr<const std::string>;

  static Micros Now();
  void Accept();
  void Look();
  void EndLeases(Micros now);
  Answer Handle(const std::string& method, const std::string& target, const std::string& body);
  Answer Write(const std::string& body);
  Answer Renew(const std::string& body);
  Answer TakeSnapshot(const std::string& body);
  Answer StopPreserving(const std::string& body);
  Answer Promote(const std::string& body);
  // Why this registry does not write, with where to go; nothing if it does.
  std::optional<Answer> Elsewhere() const;
  bool Writes() const { return role_.role() == Role::kPrimary && role_.rival().empty(); }
  bool Follows() const;
  RoleCore MakeRole();
  std::unique_ptr<Peers> MakePeers();
  bool OnReplica(const Replica& replica);  // false if it was not taken
  void DecideRole();
  void SetAside(const Standing& follows);
  Answer Status() const;
  Answer Metrics();
  // Stores, commits, tells the watchers. False if it could not be made durable.
  bool Carry(const Change& change, std::string& why);
  // What a watcher of this index is owed, as a chunk; worded once for all that are at the same index.
  Text OwedChunk(std::int64_t index, bool replica);
  void TellAll();
  void TellAllAnew();
  std::int64_t SlowestLag() const;

  asio::io_context& io_;
  const ServiceConfig config_;
  Store store_;  // first, so that one that is in use elsewhere leaves that one's log alone
  Log log_;
  Core core_;
  RoleCore role_;
  std::unique_ptr<Peers> peers_;  // null if it is alone
  Figures figures_;
  Tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  Micros looked_ = 0;
  std::set<std::shared_ptr<Session>> sessions_;
  std::size_t watchers_ = 0;
  std::map<std::pair<std::int64_t, bool>, Text> worded_;  // for the present generation, by index and form
  bool stale_ = false;                                    // as it was told last
  Role told_role_ = Role::kAsking;                        // as the log has it
  std::string told_rival_;
  std::string trouble_;               // with the others, as the log has it
  std::set<std::string> preserving_;  // as it was told last
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_SERVICE_HPP_
