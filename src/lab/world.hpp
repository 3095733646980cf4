// What every party of a run is given: the loop, the clock, what is to be played, and where to write down what
// it saw.
#ifndef VIOLETWING_LAB_WORLD_HPP_
#define VIOLETWING_LAB_WORLD_HPP_

#include "lab/plan.hpp"
#include "lab/shell.hpp"

namespace violetwing::lab {

// All of it outlives the parties.
struct World {
  asio::io_context& io;
  const Clock& clock;
  const Scenario& scenario;
  const Plan& plan;
  Records& records;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_WORLD_HPP_
