// Admission: which work is let in under pressure, and what outcomes tell of the pressure. A part of the
// decision module.
#ifndef VIOLETWING_BALANCER_ADMISSION_HPP_
#define VIOLETWING_BALANCER_ADMISSION_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

class Admission {
 public:
  // Keeps references: both must outlive it.
  Admission(const Settings& settings, Random& random);

  void CountArrival(Micros now, std::size_t request_class, std::optional<Micros> cost);
  // A request that has arrived has its final answer, which is worth that share of the whole.
  void CountEnd(std::size_t request_class, double worth_share);
  // Another process came before this one, and may still serve when this one begins to.
  void Succeed() { succeeds_ = true; }
  // Whether so many requests are open that clients may soon find no connection for the next.
  bool Crowded(Micros now) const;
  // Whether a request of that class is let in; `late` ones have waited past their aim already.
  bool Admits(const Pool& pool, std::size_t request_class, bool late);
  // How many attempts may be out at the pool's servers together.
  double MostOut(const Pool& pool) const;
  bool HasRoom(const Pool& pool) const;  // whether one more may be
  // To be called now and then: ends the window over which the pool's answers are counted when its time is
  // over.
  void CountWindow(Pool& pool, Micros now);
  // A crossing has to be worth its price: requests of least worth stay at home or are refused.
  bool WorthCrossing(std::size_t request_class) const;
  // What an outcome tells of the pressure on the servers.
  void Feel(Pool& pool, std::size_t request_class, const Outcome& outcome, Micros since_arrival,
            const Server& server);

 private:
  double Arriving(double value) const;
  // The time of an answer of that class at which no more is to be let in.
  double Target(std::size_t request_class) const;
  void Learn(std::size_t request_class, double elapsed, bool all_in);
  double Worth(std::size_t request_class) const;
  double Value(std::size_t request_class) const;

  const Settings& set_;
  Random& random_;
  std::vector<ClassLoad> load_;  // by class
  std::size_t worst_ = 0;        // the class that is served worst
  Micros window_ = 1000 * 1000;  // over which answers are counted: the shortest aim, a second at most
  double arrivals_ = 0;          // over which it is averaged
  double mean_worth_ = 0;        // of an arriving request
  std::size_t open_ = 0;         // requests without their final answer
  Micros first_arrival_ = 0;     // of a request; 0 = none yet
  bool succeeds_ = false;
  bool hinted_ = false;  // requests carry their expected work
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_ADMISSION_HPP_
