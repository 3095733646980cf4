// Holds the lease of one server process, whatever the registries do meanwhile: what to ask of which one, and
// when. Pure: the time is passed in, waits are drawn by seed.
#ifndef VIOLETWING_REGISTRY_AGENT_CORE_HPP_
#define VIOLETWING_REGISTRY_AGENT_CORE_HPP_

#include <optional>

#include "common/random.hpp"
#include "registry/core.hpp"

namespace violetwing::registry {

class LeaseCore {
 public:
  struct Settings {
    Micros term = 10'000'000;   // of the lease; renewed three times in it
    Micros drain = 2'000'000;   // from the drain to the end of the entry
    Micros leave = 10'000'000;  // and how long leaving may take where no registry answers
    std::size_t registries = 1;
  };
  enum class Ask { kPut, kRenew, kDeregister };
  enum class Heard {
    kDone,
    kUnknown,    // there is no such entry
    kConflict,   // another process holds the lease
    kElsewhere,  // this registry writes nothing
    kNobody,     // no answer, or not now
    kRefused,    // it makes no sense, and never will
  };
  enum class Wanted { kUp, kDraining, kGone };

  LeaseCore(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed, "lease") {}

  void Want(Micros now, Wanted wanted);
  // The server has started anew: its entry is told again.
  void Changed(Micros now);

  // What to ask now of registry(), if anything; one call at a time is out, until OnAnswer.
  std::optional<Ask> Due(Micros now);
  std::size_t registry() const { return registry_; }
  Lifecycle lifecycle() const { return wanted_ == Wanted::kUp ? Lifecycle::kUp : Lifecycle::kDraining; }
  // `go_to`: the registry that the answer named.
  void OnAnswer(Micros now, Ask ask, Heard heard, std::optional<std::size_t> go_to);
  Micros next() const { return next_; }  // when Due has something, if nothing is out

  // The exit status once it is over: 0 gone as wanted, 1 not.
  std::optional<int> ended() const { return ended_; }
  // Why it ended with 1.
  const char* why() const { return why_; }

 private:
  enum class Known { kNothing, kUp, kDraining };

  void Wait(Micros now);
  void End(int status, const char* why) { ended_ = status, why_ = why; }
  void OnConflict(Micros now);
  Known Asked() const { return wanted_ == Wanted::kUp ? Known::kUp : Known::kDraining; }

  const Settings settings_;
  Random random_;
  Wanted wanted_ = Wanted::kUp;
  Known known_ = Known::kNothing;
  Known asked_ = Known::kNothing;
  bool out_ = false;
  std::size_t registry_ = 0;
  int failures_ = 0;
  Micros next_ = 0;
  Micros drained_at_ = 0;
  Micros leaves_by_ = 0;
  std::optional<Micros> conflict_since_;
  std::optional<int> ended_;
  const char* why_ = "";
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_AGENT_CORE_HPP_
