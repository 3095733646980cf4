// The registry's figures in the Prometheus text form.
#ifndef VIOLETWING_REGISTRY_FIGURES_HPP_
#define VIOLETWING_REGISTRY_FIGURES_HPP_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace violetwing::registry {

class Figures {
 public:
  Figures();

  prometheus::Counter& writes;      // versions made
  prometheus::Counter& refused;     // writes and renewals that were not done
  prometheus::Counter& expired;     // leases that ended
  prometheus::Counter& overloaded;  // calls and watches answered with 503
  prometheus::Counter& cut_off;     // watchers that took nothing
  prometheus::Counter& ahead;       // watches that asked for an index above every generation here
  prometheus::Counter& pauses;      // the process or its clock stood
  prometheus::Gauge& generation;
  prometheus::Gauge& epoch;
  prometheus::Gauge& watchers;
  prometheus::Gauge& lag;  // versions that the slowest watcher is behind
  prometheus::Gauge& up;
  prometheus::Gauge& draining;
  prometheus::Gauge& leases;
  prometheus::Gauge& overdue;     // leases over, and kept by self-preservation
  prometheus::Gauge& preserving;  // zones under it
  prometheus::Gauge& role;        // 1 = it writes
  prometheus::Gauge& stale;       // seconds since a follower had all that its primary had
  prometheus::Gauge& rivals;      // 1 = another primary of the same epoch answers
  prometheus::Histogram& commit;  // seconds until a version was durable

  std::string Text() const;

 private:
  explicit Figures(prometheus::Registry* registry);
  std::unique_ptr<prometheus::Registry> registry_;
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_FIGURES_HPP_
