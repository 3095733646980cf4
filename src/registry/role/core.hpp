// Which of several registries writes, and whom the others follow. Pure: time and what the others say of
// themselves are passed in. docs/registry.md, "Several registries", has the reasons.
//
// There is no vote. An operator makes a registry the primary by an epoch above all before; a primary that
// hears of a later epoch follows it, whoever it hears it from.
#ifndef VIOLETWING_REGISTRY_ROLE_CORE_HPP_
#define VIOLETWING_REGISTRY_ROLE_CORE_HPP_

#include <optional>
#include <string>
#include <vector>

#include "registry/core.hpp"

namespace violetwing::registry {

enum class Role {
  kAsking,    // its store says primary, and it has not asked the others yet: it writes nothing
  kPrimary,   // writes, and ends leases
  kFollower,  // holds what another one tells it
};
const char* Name(Role role);

// What a registry says of itself to the others.
struct Standing {
  std::string name;
  Role role = Role::kFollower;
  std::int64_t generation = 0;
  std::int64_t began_from = 0;    // the version that its epoch began with
  std::vector<std::string> path;  // whom it follows, whom that one follows, and so on
  Micros stale = 0;  // since it last had all that a primary had, by way of its path; 0 for a primary

  std::int64_t epoch() const { return generation / kEpochUnit; }
};

class RoleCore {
 public:
  struct Timing {
    Micros answer_holds = 3'000'000;  // what another one has said counts for so long: three rounds of asking
    Micros stale_after = 5'000'000;   // without word from a primary, the list is called stale
  };

  // `others`: how many there are; they are known by number here. One that follows is stale until it has
  // heard.
  RoleCore(std::string name, std::size_t others, bool follows, Timing timing, Micros now);

  void OnStanding(Micros now, std::size_t other, const Standing& standing, std::int64_t own);
  void OnSilence(std::size_t other);  // asked, and did not answer
  // Its own list has come to this generation.
  void OnGeneration(std::int64_t own);
  // Takes up what follows from all that was heard; to be called at least each second.
  void Decide(Micros now, std::int64_t own);

  // Why it must not be made the primary of this epoch; empty if it may. `force` passes over what an operator
  // may know better, never over an epoch that has been.
  std::string MayPromote(Micros now, std::int64_t epoch, std::int64_t own, bool force) const;
  void Promoted() { role_ = Role::kPrimary, upstream_.reset(); }

  Role role() const { return role_; }
  std::optional<std::size_t> upstream() const { return upstream_; }
  // Another primary of the same epoch: neither may write, for one version would be two lists.
  const std::string& rival() const { return rival_; }
  // Where to write, as far as it is known.
  std::optional<std::size_t> Primary(Micros now) const;
  const Standing* Heard(Micros now, std::size_t other) const;  // null if it has not answered of late
  Micros Stale(Micros now) const;
  bool IsStale(Micros now) const { return Stale(now) > timing_.stale_after; }
  Standing Own(Micros now, std::int64_t own, std::int64_t began_from) const;

 private:
  struct Other {
    std::optional<Standing> said;
    Micros at = 0;
    bool asked = false;
  };

  void FromPrimary(Micros now, std::int64_t own);
  bool MayFollow(const Standing& other, std::int64_t own) const;
  bool Better(const Standing& one, const Standing& than) const;
  std::optional<std::size_t> Choose(Micros now, std::int64_t own) const;

  const std::string name_;
  const Timing timing_;
  std::vector<Other> others_;
  Role role_;
  std::optional<std::size_t> upstream_;
  std::string rival_;
  Micros fresh_at_;  // when it last had all that a primary had
  struct Promise {
    std::int64_t generation = 0;
    Micros at = 0;
  };
  std::optional<Promise> promise_;  // fresh as of `at` once it has come to `generation`
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_ROLE_CORE_HPP_
