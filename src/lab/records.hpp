// What the lab's own parties saw in a run: clients, servers, discovery and the starter of processes. The
// judge goes by these alone. Times are microseconds from the first moment of the load; what has not happened
// is kNever.
#ifndef VIOLETWING_LAB_RECORDS_HPP_
#define VIOLETWING_LAB_RECORDS_HPP_

#include <optional>
#include <string>
#include <vector>

#include "lab/scenario.hpp"

namespace violetwing::lab {

inline constexpr Micros kNever = INT64_MIN;

// On sockets every time limit of the rules is longer by so much (PROTOCOL, "The rules on sockets").
inline constexpr Micros kSocketSlack = 50'000;
// A client whose time is over earns nothing by an answer any more, and listens for one so long all the same.
inline constexpr Micros kLateAnswer = 500'000;

enum class TryEnd {
  kOpen,          // nothing has ended it
  kAnswered,      // a whole answer
  kClosed,        // its connection ended first
  kGaveUp,        // its time ran out
  kLeft,          // the client left early
  kNoConnection,  // none came up
};

// One try of a client, which the sidecar sees as a request of its own.
struct TryRecord {
  std::string id;
  std::size_t arrival = 0;
  Micros begun = kNever;  // the client would send
  Micros sent = kNever;   // the last byte was written
  Micros ended = kNever;
  Micros gives_up = kNever;       // its time, as the sidecar is told, is over then
  Micros answered_late = kNever;  // its time was over, and its client still listened
  TryEnd end = TryEnd::kOpen;
  int status = 0;
  bool first_on_connection = false;
  bool resent = false;    // once more, as its connection ended before the sidecar had read it
  bool invented = false;  // 200 with a body that no server made for it, or no HTTP response
  bool stray = false;     // more came after the answer
};

enum class Outcome { kRunning, kServed, kError, kDeclined, kRepeat, kCutOff };

// One request that arrived whole at a server.
struct AttemptRecord {
  std::string id;
  int life = 0;             // index into lives
  Micros sent = kNever;     // its first byte left the sidecar
  Micros arrived = kNever;  // its last byte came
  Micros ended = kNever;
  Outcome outcome = Outcome::kRunning;
  double work_us = 0;
  Micros tells = 0;  // the time that the sidecar says it will wait
  bool first_on_connection = false;
};

// A server from its start to its end; one that restarts under its id has another life.
struct LifeRecord {
  std::string id;
  int server = 0;  // number in the plan
  Micros started = kNever;
  bool cold = false;
  Micros ended = kNever;
  bool fell = false;
};

enum class Lifecycle { kUp, kDraining, kRemoved };

// Discovery wrote this to the sidecar.
struct ToldRecord {
  int sidecar = 0;
  std::string server;
  Lifecycle lifecycle = Lifecycle::kUp;
  Micros at = kNever;
};

// Discovery learnt this. It is known to all sidecars some time later, whether it was told to them or not.
struct ChangeRecord {
  std::string server;
  Lifecycle lifecycle = Lifecycle::kUp;
  Micros at = kNever;
};

struct ProcessRecord {
  int sidecar = 0;
  Micros started = kNever;
  Micros ready = kNever;
  Micros killed = kNever;  // by the lab, outright
  Micros told_to_end = kNever;
  Micros ended = kNever;
  std::string how;       // it ended
  bool crashed = false;  // not as it was told, or with a sanitizer's report
};

struct UsageRecord {
  Micros at = 0;
  int sidecar = 0;
  double cpu_s = 0;  // so far
  double memory_mb = 0;
  int descriptors = 0;
};

struct FaultRecord {
  int fault = 0;  // index in the scenario
  Micros begun = kNever;
  Micros ended = kNever;  // kNever also if it lasts to the end
};

struct Records {
  std::vector<TryRecord> tries;
  std::vector<AttemptRecord> attempts;
  std::vector<LifeRecord> lives;
  std::vector<ToldRecord> told;
  std::vector<ChangeRecord> changes;  // of the scripted discovery, in order of time
  std::vector<ProcessRecord> processes;
  std::vector<UsageRecord> usage;
  std::vector<FaultRecord> faults;
  std::vector<Micros> lateness;  // of each arrival: how late the lab itself came to it
  long discovery_calls = 0;
  bool all_ready = true;
  int registries_crashed = 0;
  // With registries, as the run ended: how many write, whether all hold one list, and how many servers a
  // sidecar was last told otherwise, over all sidecars.
  struct Views {
    int writing = 0;
    bool equal = false;
    int wrong = 0;
  };
  std::optional<Views> views;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_RECORDS_HPP_
