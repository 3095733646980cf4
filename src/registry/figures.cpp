#include "registry/figures.hpp"

#include <prometheus/text_serializer.h>

namespace violetwing::registry {
namespace {

prometheus::Counter& Counter(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter()
      .Name(std::string("violetwing_registry_") + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

prometheus::Gauge& Gauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge()
      .Name(std::string("violetwing_registry_") + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

Figures::Figures() : Figures(new prometheus::Registry) {}

Figures::Figures(prometheus::Registry* registry)
    : writes(Counter(*registry, "writes_total", "Versions made")),
      refused(Counter(*registry, "refused_total", "Writes and renewals that were refused")),
      expired(Counter(*registry, "expired_total", "Leases that ended without a renewal")),
      overloaded(Counter(*registry, "overloaded_total", "Calls answered with 503")),
      cut_off(Counter(*registry, "watchers_cut_off_total", "Watchers cut off because they took nothing")),
      ahead(Counter(*registry, "ahead_asked_total",
                    "Watches for an index above every generation of this registry")),
      pauses(
          Counter(*registry, "pauses_total", "Times that this process stood still; leases got a full term")),
      generation(Gauge(*registry, "generation", "Generation of the list")),
      epoch(Gauge(*registry, "epoch", "Epoch of the store")),
      watchers(Gauge(*registry, "watchers", "Watches that are open")),
      lag(Gauge(*registry, "slowest_watcher_lag_versions", "Versions that the slowest watcher is behind")),
      up(Gauge(*registry, "entries_up", "Entries that are up")),
      draining(Gauge(*registry, "entries_draining", "Entries that drain")),
      leases(Gauge(*registry, "leases", "Entries that have a lease")),
      overdue(Gauge(*registry, "leases_overdue", "Leases that are over and kept by self-preservation")),
      preserving(Gauge(*registry, "preserving_zones", "Zones under self-preservation")),
      role(Gauge(*registry, "writes", "1 if this registry writes, 0 if it follows or waits")),
      stale(Gauge(*registry, "stale_seconds", "Since a follower last had all that its primary had")),
      rivals(Gauge(*registry, "rivals", "1 if another primary of the same epoch answers")),
      commit(prometheus::BuildHistogram()
                 .Name("violetwing_registry_commit_seconds")
                 .Help("Time until a version was durable")
                 .Register(*registry)
                 .Add({}, prometheus::Histogram::BucketBoundaries{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03,
                                                                  0.1, 0.3, 1.0})),
      registry_(registry) {}

std::string Figures::Text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace violetwing::registry
