// When the faults of a scenario begin and end: at their time from the first planned moment on, or some time
// after the begin or end of another.
#ifndef VIOLETWING_LAB_TIMELINE_HPP_
#define VIOLETWING_LAB_TIMELINE_HPP_

#include <functional>

#include "lab/journal.hpp"

namespace violetwing::lab {

class Timeline {
 public:
  // Carries a fault out, or ends it. `done` is for those that end by themselves.
  using Apply = std::function<void(int fault, bool begin, std::function<void()> done)>;

  Timeline(asio::io_context& io, const Clock& clock, const Scenario& scenario, Records& records,
           Journal& journal, Apply apply);

  // The load's begin is set; called once.
  void Start();
  // The client of this request has written its last byte.
  void OnSent(std::size_t arrival);
  // No fault begins from now on.
  void Stop() { stopped_ = true; }

 private:
  void At(Micros time, std::function<void()> act);
  void Begin(int fault);
  void End(int fault);
  void Follow(const Fault& fault, bool ended);

  asio::io_context& io_;
  const Clock& clock_;
  const Scenario& scenario_;
  Records& records_;
  Journal& journal_;
  Apply apply_;
  bool stopped_ = false;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_TIMELINE_HPP_
