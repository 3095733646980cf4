// What a run will do, drawn ahead from the seed alone: who the servers and sidecars are, when which request
// is sent and how much work it is. Pure: no clock, no socket. Two runs of one seed have the same plan to the
// byte.
#ifndef VIOLETWING_LAB_PLAN_HPP_
#define VIOLETWING_LAB_PLAN_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.hpp"

namespace violetwing::lab {

struct ServerPlan {
  std::string id;
  int zone = 0;
  int machine = 0;
  int cell = 0;
};

struct Arrival {
  Micros at = 0;  // from the first moment of the load
  int sidecar = 0;
  int kind = 0;           // index of the class
  double work_us = 0;     // before the noise of each attempt
  std::string key;        // of a keyed class
  bool honours = false;   // waits as it is told by Retry-After
  bool hangs_up = false;  // closes its connection with the answer's last byte
  Micros leaves = 0;      // the client leaves so long after the arrival; 0 = it stays
};

// What a fault does to whom, once its time has come.
struct FaultPlan {
  std::vector<int> on;  // numbers of the servers or sidecars
  std::vector<int> to;  // of a link: servers; empty with discovery
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<ServerPlan> servers;
  std::vector<int> sidecar_zones;
  std::vector<Arrival> arrivals;  // in order of time; the index is the request's number
  std::vector<FaultPlan> faults;  // as in the scenario
};

Plan Draw(const Scenario& scenario, std::uint64_t seed);

// The id of a try: the request's number and the try's, which reads as any 64-bit id does.
std::string TryId(std::size_t arrival, int attempt);
// The request's number and the try's; number past every plan if the id is none of ours.
struct TryOf {
  std::size_t arrival = static_cast<std::size_t>(-1);
  int attempt = 0;
};
TryOf ParseTryId(const std::string& id);

// The id of the server that comes in place of `server` for the `nth` time.
std::string SuccessorId(const Plan& plan, int server, int nth);
// The work of one attempt, the same whichever run and whenever it comes.
double AttemptWork(const Scenario& scenario, const Plan& plan, const std::string& id, int server);
// Whether an attempt ends in an error at this share of errors.
bool AttemptFails(const Plan& plan, const std::string& id, int server, double rate);

// One line of JSON for each server, sidecar, fault and arrival, for comparing two runs.
std::string PlanText(const Scenario& scenario, const Plan& plan);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_PLAN_HPP_
