// The plain records of the decision module, and its random numbers. No decision is taken here.
#ifndef VIOLETWING_BALANCER_RECORDS_HPP_
#define VIOLETWING_BALANCER_RECORDS_HPP_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// The one place that says which outcomes prove that the attempt never ran. Some servers also turn away what
// they had begun: their refusal proves nothing.
inline bool ProvesNeverRan(Result result, bool rejected_may_have_run) {
  return (result == Result::kRejected && !rejected_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent || result == Result::kNoDescriptor;
}

// What may always be out: with one, a single dear request would close a server or a window to all others.
constexpr double kLeastOut = 2;

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  int out = 0;                   // own attempts in flight
  int idle = 0;                  // of them, those that wait for slow clients and keep no core busy
  double slow = 1;               // its answer times as a multiple of what is usual for their class
  std::vector<double> refuses;   // by class: share of its requests that were turned away lately
  double fails = 0;              // share of all requests that it answered with an error lately
  int consecutive_failures = 0;  // bad outcomes in a row
  Micros ejected_until = 0;      // no attempts until then; after that one trial attempt at a time
  double slow_start_credit = 0;  // sends that it may still be given in slow start
  std::int64_t served_then = 0;  // what warm ones had served when the credit was last reckoned

  int Working() const { return out - idle; }

  // By own attempts out, counted in the time that it takes for each. Own counts alone do not see a slow
  // server that answers in the end, nor do they tell idle servers apart.
  double Busy() const { return (Working() + 1) * slow; }

  // What a process did says nothing of the one that replaces it.
  void Forget() {
    slow = 1;
    refuses.clear();
    fails = 0;
    consecutive_failures = 0;
    ejected_until = 0;
  }
};

// The share of its full capacity that a server certainly has: it grows from the cold share over the warm-up.
inline double WarmthOf(const ServerInfo& info, const Settings& settings, Micros now) {
  const Micros age = now - info.started;
  if (info.started == 0 || age >= settings.warm_after) return 1;
  const double grown =
      static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(settings.warm_after);
  return settings.cold_share + (1 - settings.cold_share) * grown;
}

// Servers that share a ring, and what this sidecar knows of them together. Own zone and elsewhere where
// crossing is priced, else all in one.
struct Pool {
  std::vector<Server*> ring;  // healthy ones by id
  std::size_t offset = 0;     // where the window begins
  std::size_t sharers = 1;    // sidecars whose windows hold a server, on average and at the least width
  int out = 0;                // own attempts in flight that are carried
  double out_peak = 0;        // their fading peak
  double admit = 1;           // share of the arriving work that is let in
  double carries = 10;        // what may be out: answers a second, each times its time at the knee
  bool starting = true;       // no window is over yet: it grows with each timely answer
  double answered = 0;        // of the window that runs now: the times that its answers may take, summed ...
  double taken = 0;           // ... and those that they took
  Micros window_began = 0;
  bool pressed = false;  // in that window half of what may be out was out

  Server& InWindow(std::size_t i) const { return *ring[(offset + i) % ring.size()]; }
};

struct Attempt {
  Server* server = nullptr;  // to be followed only while the attempt is out: the list may drop the server
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool out = true;
  bool idle = false;  // its request is still coming, or its answer has begun
  bool felt = false;  // that it is late has been taken as pressure already
  // Whether it counts as work that the pool's servers carry: neither waiting for a client nor overdue.
  bool Carried() const { return !idle && !felt; }
  bool may_have_run = true;  // until an outcome proves that it did not
};

struct Held {  // a request, from its arrival until its last attempt is resolved
  std::size_t request_class = 0;
  bool late = false;  // its client has waited past the aim already, over earlier tries
  std::size_t pool = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  bool body_incomplete = false;  // its last byte is still to come
  bool dropped = false;          // its first bytes are gone
  bool ended = false;
  bool cancelled = false;  // what was out at its end is called off
  int refusals = 0;
  std::uint64_t timer = 0;  // the one that is awaited; 0 = none
  std::string key;          // of the line in which it waits for its turn; empty = free
  Micros settled_at = 0;    // it keeps the turn until then, as a doubtful attempt may still be running
  std::vector<Attempt> attempts;

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  // The first attempt that may have run: it decides what may still be done.
  const Attempt* MayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

struct ClassLoad {  // what admission has seen of a class
  double work = 1;  // usual work of one request: the hint where there is one, else the time of its answers
  double arrivals = 0;  // that its work is averaged over
  double arriving = 0;  // work that arrived lately, fading
  double served = 1;    // share of its worth that was earned lately
  double usual = 0;     // time of an answer, averaged
  double answers = 0;   // that say so
  double unloaded = 0;  // the least that was usual; 0 = not known yet
};

struct ClassTimes {
  double answer = 0;        // usual time of an answer; 0 = none yet
  Micros usual_budget = 0;  // of its tries: a clearly shorter one is all that is left of the deadline
};

class Random {  // SplitMix64: small, and the same everywhere
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros Upto(Micros most) { return static_cast<Micros>(Unit() * static_cast<double>(most)); }

 private:
  std::uint64_t state_;
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_RECORDS_HPP_
