// The model of a server as BRIEF and BENCH describe it, without clock or socket: time is passed in and never
// goes back. Work is in microseconds on a core of speed 1.
#ifndef VIOLETWING_LAB_SERVER_CORE_HPP_
#define VIOLETWING_LAB_SERVER_CORE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace violetwing::lab {

using Micros = std::int64_t;

// Held back by a long queue: a server with more than `at` requests waiting a core for `over` turns `slower`
// times slower until it has held at most `below` requests a core for `rest`, or for `most` at the latest.
struct Choke {
  double at = 0;  // 0 = the server never chokes
  Micros over = 0;
  double slower = 1;
  double below = 0.3;
  Micros rest = 0;
  Micros most = 0;
};

struct ServerSpec {
  int cores = 4;
  double speed = 1;        // of a core, against the yardstick
  int slots_per_core = 1;  // requests in work
  double queue_per_core = 16;
  double cold_from = 0.2;    // share of the capacity at its start
  Micros cold = 15'000'000;  // and full after so long, evenly
  Choke choke;
  int connections = 64;          // accepts no more
  double handshake_us = 15'000;  // work of a new connection
  double full_tax = 0.25;        // share of the capacity that a full table of connections takes
  double error_rate = 0;
  bool drops_expired = true;  // what is overdue when its turn comes is turned away
  // What a cold server may be sent within `fall`: so many times what it can do.
  double fall_multiple = 2.5;
  Micros fall = 3'000'000;
  double mean_work_us = 60'000;  // of a request, over all classes
};

// The share of its capacity that a server has `since` after a cold start.
double WarmShare(const ServerSpec& spec, Micros since);
// The work that a server may be sent within the last `spec.fall` while it is cold, in core-microseconds.
double ColdBudget(const ServerSpec& spec, Micros since_start);

// The work within the last `spec.fall` over which a cold server falls: N + 2 x root of N + 2 requests of mean
// work, N being the budget in such requests (STANDING, "Days at full size").
double FallBound(const ServerSpec& spec, Micros since_start);

class ServerCore {
 public:
  enum class Answer { kServed, kError, kDeclinedFull, kDeclinedDraining, kDeclinedExpired, kRepeat };
  struct Done {
    std::uint64_t job = 0;
    Answer answer = Answer::kServed;
    Micros at = 0;
  };

  explicit ServerCore(const ServerSpec& spec) : spec_(spec) {}

  // A process starts: nothing is held, and it is cold unless it has long been there.
  void Start(Micros now, bool cold);
  // The process ends; what it held is gone.
  void Stop();

  // A request has arrived whole. Answers at once, or with Advance later if nothing is returned; Advance to
  // `now` first. `fails` is the draw whether it ends in an error. Look at fallen() afterwards.
  std::optional<Answer> Offer(Micros now, std::uint64_t job, double work_us, Micros expires, bool fails);
  // False if the table is full.
  bool Connect(Micros now);
  void Disconnect(Micros now);

  // Brings the model to `now`, and hands out what has ended by then in order of time.
  std::vector<Done> Advance(Micros now);
  // When Advance has something to do next, if nothing is offered before.
  std::optional<Micros> Next() const;

  void Slow(Micros now, double factor);  // 1 = as ever
  void Drain(bool draining) { draining_ = draining; }

  bool up() const { return up_; }
  bool fallen() const { return fallen_; }
  bool choked() const { return choked_; }
  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  int connections() const { return connections_; }

 private:
  struct Job {
    std::uint64_t id = 0;
    double work = 0;
    Micros expires = 0;
    bool fails = false;
    bool handshake = false;
  };
  struct Running {
    double finish = 0;  // of the progress that every running job makes alike
    std::uint64_t order = 0;
    Job job;
    bool operator>(const Running& other) const {
      return finish != other.finish ? finish > other.finish : order > other.order;
    }
  };

  double Share() const;  // all that slows a core but the warm-up
  double Progress(Micros from, Micros to) const;
  Micros TimeOf(double progress) const;  // when so much more has been done, from time_ on
  int Slots() const { return spec_.cores * spec_.slots_per_core; }
  void MoveTo(Micros time);
  void Begin(std::vector<Done>& done);
  void WatchChoke();
  std::optional<Micros> ChokeChange() const;
  void CountCold(double work_us);

  ServerSpec spec_;
  bool up_ = false;
  bool fallen_ = false;
  bool draining_ = false;
  bool cold_start_ = false;
  double slow_ = 1;
  Micros started_ = 0;
  Micros time_ = 0;
  double progress_ = 0;
  std::uint64_t order_ = 0;
  int connections_ = 0;
  std::deque<Job> waiting_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  bool choked_ = false;
  std::optional<Micros> crowded_since_;  // over the mark of the choke
  std::optional<Micros> idle_since_;     // choked, and under the mark that ends it
  Micros choked_at_ = 0;
  std::deque<std::pair<Micros, double>> sent_cold_;
  double sent_cold_sum_ = 0;
};

// The servers of a pod share what keys they have seen: a repeat within the window is not run again.
class KeyMemory {
 public:
  explicit KeyMemory(Micros window) : window_(window) {}
  bool Seen(Micros now, const std::string& key);
  // From the first request of this key that was let in; one that was turned away leaves no trace.
  void Keep(Micros now, const std::string& key);

 private:
  Micros window_;
  std::map<std::string, Micros> first_;
  std::deque<std::pair<Micros, std::string>> ages_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_SERVER_CORE_HPP_
