// What each sidecar has been told of each server, and since when by the clock of STANDING, "Days at full
// size": when it is written, and at the latest some time after it was missed, whether it has come or not.
// Pure.
#ifndef VIOLETWING_LAB_JUDGE_TOLD_HPP_
#define VIOLETWING_LAB_JUDGE_TOLD_HPP_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lab/plan.hpp"
#include "lab/records.hpp"

namespace violetwing::lab {

class Told {
 public:
  Told(const Scenario& scenario, const Plan& plan, const Records& records);

  // Since when a sidecar counts as told, at a time, that this id drains or is gone, and not since that it is
  // up. kNever if it was told that it is up; nothing if it was told nothing of it.
  std::optional<Micros> OutSince(int sidecar, const std::string& id, Micros at) const;
  // Whether it counts as told, at a time, of a start at `started`.
  bool OfStart(int sidecar, const std::string& id, Micros started, Micros at) const;

 private:
  struct Word {
    Micros at = 0;
    Lifecycle lifecycle = Lifecycle::kUp;
  };
  void AddMissed(int sidecar, const ChangeRecord& change);
  Micros Back(int sidecar, Micros at) const;

  const Scenario& scenario_;
  const Plan& plan_;
  const Records& records_;
  std::map<std::pair<int, std::string>, std::vector<Word>> words_;  // in order of time
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_JUDGE_TOLD_HPP_
