// Admission: which work is let in under pressure, and what outcomes tell of the pressure. A part of the
// decision module.
#ifndef MERLINRUN_SRC_ADMISSION_HPP_
#define MERLINRUN_SRC_ADMISSION_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "records.hpp"

namespace merlinrun {

class Admission {
 public:
  // Keeps references: both must outlive it.
  Admission(const Settings& settings, Random& random);

  void CountArrival(std::size_t request_class, std::optional<Micros> cost);
  // Whether a request of that class is let in; `late` ones have waited past their aim already.
  bool Admits(const Pool& pool, std::size_t request_class, bool late);
  // A crossing has to be worth its price: requests of least worth stay at home or are refused.
  bool WorthCrossing(std::size_t request_class) const;
  // What an outcome tells of the pressure on the servers.
  void Feel(Pool& pool, std::size_t request_class, const Outcome& outcome, bool limit_on_one_class);

 private:
  double Arriving(double density) const;
  double AdmitTarget(const Pool& pool) const;
  double Target(const Pool& pool) const;
  double Worth(std::size_t request_class) const;
  double Density(std::size_t request_class) const;

  const Settings& set_;
  Random& random_;
  std::vector<ClassLoad> load_;  // by class
  double mean_worth_ = 0;        // of an arriving request
  bool hinted_ = false;          // requests carry their expected work
};

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_ADMISSION_HPP_
