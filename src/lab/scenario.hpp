// A scenario: the fleet, the load, the faults in their order and what is claimed of the run. Read from TOML;
// what is not given is as at the deployment that BRIEF describes.
#ifndef VIOLETWING_LAB_SCENARIO_HPP_
#define VIOLETWING_LAB_SCENARIO_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/server/core.hpp"

namespace violetwing::lab {

// One line that names the file, the line in it and the key.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The time within which a sidecar has to ask discovery again, as its settings give it.
inline constexpr Micros kAskWithin = 10'000'000;

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class KeyGroup { kAll, kZone, kCell };

struct ClassSpec {
  std::string name;
  double share = 1;
  double work_us = 60'000;  // mean, on a core of speed 1
  double cv = 1;            // of the work, drawn from a log-normal
  double attempt_noise = 0.2;
  Micros aim = 1'000'000;
  Micros deadline = 5'000'000;
  double worth = 1;
  double late_value = 0.5;
  Effect effect = Effect::kUnsafe;
  KeyGroup group = KeyGroup::kAll;
  Micros window = 0;
};

struct MachineSpec {
  std::string name;
  double share = 1;
  ServerSpec server;
};

struct Fleet {
  int sidecars = 3;
  int servers = 9;
  int cells = 3;
  std::vector<std::string> zones;
  int memory_mb = 96;
  int sockets = 512;
  bool passed_socket = false;  // the lab holds the clients' sockets, as for upgrades
  Micros ready_within = 30'000'000;
};

struct Load {
  double requests_per_s = 0;           // 0 = by `share`
  double share = 0.6;                  // of what the servers can do when all are warm
  double swing = 0;                    // of the rate, over one sine in the run
  std::vector<double> sidecar_shares;  // empty = even
};

struct ClientSpec {
  int tries = 3;
  double try_share = 0.55;  // of the deadline, for one try
  Micros backoff = 150'000;
  double honour = 0.2;      // share of clients that wait as Retry-After says
  double impatient = 0.01;  // share of requests whose client leaves early
  double hang_up = 0.01;  // share of requests whose client closes its connection with the answer's last byte
};

struct Network {
  Micros same = 0;   // one way within a zone; 0 = what loopback has
  Micros cross = 0;  // one way between zones
};

struct DiscoverySpec {
  bool up = true;
  Micros notice = 1'000'000;         // after which it knows that a process began, drains or ended
  Micros silent_notice = 8'000'000;  // and that a machine has fallen silent
  int watchers = 5000;
};

// The project's own registry in place of the scripted discovery.
struct RegistrySpec {
  int count = 0;                   // processes, the first the primary; 0 = the scripted discovery
  Micros term = 3'000'000;         // of the servers' leases
  Micros stale_after = 2'000'000;  // a follower calls its list stale
};

enum class Party { kServer, kSidecar, kClient, kDiscovery, kRegistry, kLink };

// Which parties a fault is for: all, some by number, a zone, or a share of them (the first by a seeded
// order).
struct Selector {
  Party party = Party::kServer;
  bool all = false;
  std::vector<int> numbers;
  std::string zone;
  double share = 0;
  std::string text;
};

enum class Act {
  kCrash,
  kVanish,
  kDrain,
  kRemove,
  kSlow,
  kErrors,
  kRoll,  // servers
  kKill,
  kTerminate,
  kFreeze,
  kUpgrade,
  kDescriptors,
  kStrangers,
  kDrainZone,
  kReturnZone,  // sidecars
  kDown,
  kOverbooked,
  kStale,
  kLate,
  kLower,
  kMove,     // discovery
  kPromote,  // registries
  kDelay,
  kCut,
  kHalfOpen,
  kReset,
  kRate,
  kLoss,
  kReorder,  // links
};

enum class Direction { kBoth, kThere, kBack };

struct Fault {
  std::string name;
  Act act = Act::kCrash;
  std::string act_text;
  Selector on;  // of a link: who opens the connections; clients are numbered as their sidecars
  Selector to;  // of a link
  Direction direction = Direction::kBoth;
  std::optional<Micros> at;       // from the first planned arrival on
  std::optional<int> at_request;  // else: as the last byte of this request has been written by its client
  std::string after;  // else: the name of the fault whose begin or end it waits for; empty = readiness
  bool after_end = false;
  Micros wait = 0;              // after that
  std::optional<Micros> lasts;  // empty = to the end
  double value = 0;
  std::string zone;  // that is drained or returned to by hand
  Micros jitter = 0;
  Micros drain = 0;
  Micros down = 0;
};

struct Claim {
  std::string figure;
  std::optional<double> at_least;
  std::optional<double> at_most;
  std::string where;  // file:line, for messages
};

struct Scenario {
  std::string name;
  std::string description;
  Micros length = 10'000'000;
  Fleet fleet;
  Load load;
  ClientSpec clients;
  Network network;
  DiscoverySpec discovery;
  RegistrySpec registry;
  Micros drain_grace = 500'000;
  int max_attempts = 6;
  std::vector<ClassSpec> classes;
  std::vector<MachineSpec> machines;
  std::vector<Fault> faults;
  std::vector<Claim> claims;
};

// `name` stands for the file in messages. Claims are checked against the figures by the judge (CheckClaims).
Scenario ParseScenario(const std::string& text, const std::string& name);
// Throws ScenarioError also if the file cannot be read.
Scenario LoadScenario(const std::string& file);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SCENARIO_HPP_
