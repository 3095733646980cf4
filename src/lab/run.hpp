// Plays a scenario: starts the sidecars, plays servers, discovery, clients and faults around them, and hands
// out what all of these saw. One thread, one loop, everything on loopback.
#ifndef VIOLETWING_LAB_RUN_HPP_
#define VIOLETWING_LAB_RUN_HPP_

#include <functional>
#include <string>

#include "lab/plan.hpp"
#include "lab/records.hpp"

namespace violetwing::lab {

struct RunOptions {
  std::string sidecar;    // the program to play
  std::string program;    // violetwing itself, for the registries of a scenario that has them
  bool scripted = false;  // the scripted discovery also where the scenario has registries
  std::string keep;       // a directory for logs and configurations; empty = none are kept
  // Told about four times a second of what is going on.
  std::function<void(const std::string& line)> progress;
};

// Throws std::system_error or std::runtime_error if the lab itself cannot go on, and Interrupted after SIGINT
// or SIGTERM. Nothing that it has started outlives the call.
Records Play(const Scenario& scenario, const Plan& plan, const RunOptions& options);

class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_RUN_HPP_
