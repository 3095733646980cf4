// Which server a request goes to. The servers that may take it stand on a ring in the order of their ids; a
// sidecar uses a run of consecutive ones, its window, that begins at an offset set by its number. Of two
// random servers of the window the less busy one is taken, by the requests that this sidecar has there and by
// what the server told last of its load. Where prompts are told, it is the time until the server would have
// read this one, after those that this sidecar and others have sent there. A server that holds the first
// parts of the prompt counts as less busy by what that saves; one of another zone, or to which no connection
// is kept, as busier by what these cost. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "dataplane/load_balancing/prefill_queue.hpp"
#include "dataplane/load_balancing/prefix_cache.hpp"
#include "dataplane/routing/directory.hpp"
#include "messages/load.hpp"

namespace violetwing {

// What a server told in X-Violetwing-Server-Load.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

enum class AttemptResult {
  kServed,       // a whole answer of a server that works
  kRefused,      // not run: the server is full
  kWrongServer,  // not run: another server, or one without the model
  kUnreachable,  // not run: no connection came up
  kBroken,       // may have run: reset, closed, or not an answer
  kError,        // run, and failed
  kSilent,       // may have run: given up here after a long time without a byte
  kCancelled,    // may have run: given up here for another reason
};

class LoadBalancer {
 public:
  explicit LoadBalancer(std::uint64_t seed) : random_(seed) {}

  struct RequestAttributes {
    std::string model;  // empty for plain services
    std::string adapter;
    const std::vector<PromptPart>* parts = nullptr;
    double tokens = 0;               // of the whole prompt
    std::vector<std::string> tried;  // ids that this request has been sent to
    // Set as it is sent: of the prompt, what that server has to read, the time that should take, and that of
    // the prompts that the server was known to read first.
    double unread_tokens = 0;
    double unread_ms = 0;
    double before_ms = 0;
    Micros sent_at = 0;
  };

  // The zone of this sidecar, and whether an idle connection to a server is kept.
  void SetNear(std::string zone, std::function<bool(const std::string& id)> connected) {
    zone_ = std::move(zone);
    connected_ = std::move(connected);
  }

  // Null if no server of `candidates` may take it now. They are sorted by id.
  const Instance* Choose(const std::vector<const Instance*>& candidates, const Directory& directory,
                         const RequestAttributes& attributes, Micros now);

  void OnSent(const std::string& id, RequestAttributes& attributes, Micros now);
  void OnLoad(const std::string& id, const ServerLoad& load, Micros now);
  // `runs`: the server has begun to answer, and does not turn the request away.
  void OnFirstByte(const std::string& id, const RequestAttributes& attributes, bool runs, Micros now);
  // `answered`: a first byte has come.
  void OnEnd(const std::string& id, AttemptResult result, const RequestAttributes& attributes, bool answered,
             Micros now);
  // Forgets servers that are no longer there.
  void Keep(const Directory& directory, Micros now);

  // `on_news` is called when there is something to report; `heavy`: others should know of it at once, as they
  // may be about to send to the same server.
  void SetOnNews(std::function<void(bool heavy)> on_news) { on_news_ = std::move(on_news); }
  // The prompts sent since the last report, without its sender.
  LoadReport TakeReport();
  // Only some of the other sidecars tell of their prompts: each stands for so many.
  void SetReportWeight(double sidecars) { report_weight_ = sidecars; }
  // What another sidecar reports.
  void OnReport(const LoadReport& report, Micros now);

  int InFlight(const std::string& id) const;

 private:
  struct Server {
    int in_flight = 0;
    int silent = 0;           // of these, without a first byte yet
    Micros silent_since = 0;  // since which all that was asked is without an answer; 0 if none is

    ServerLoad load;
    Micros load_at = 0;
    int failures = 0;  // in a row
    Micros ejected_until = 0;
    Micros full_until = 0;
    std::map<std::string, Micros> lacks_until;  // model or model/adapter that it turned out not to hold
    PrefixCache cache;
  };

  // How fast a model's prompts are read, as sums that fade with each sample.
  struct ReadSpeed {
    double ms = 0;
    double tokens = 0;
  };

  void LearnSpeed(const RequestAttributes& attributes, Micros now);
  double MsPerToken(const std::string& model) const;
  // How long a prompt waits at a server until it is read, in ms.
  double ReadCost(const Server& server, const Instance& instance, const RequestAttributes& attributes,
                  bool home, Micros now) const;
  // Of what the server told last of others' requests, what is left of it now.
  static double Faded(const Server& server, int told, Micros now);
  bool Usable(const Server& server, const RequestAttributes& attributes, Micros now) const;
  bool Connected(const Instance& instance) const { return !connected_ || connected_(instance.id); }
  bool InOwnZone(const Instance& instance) const { return zone_.empty() || instance.zone == zone_; }
  double Cost(const Server& server, const Instance& instance, const RequestAttributes& attributes, bool home,
              Micros now) const;
  // The servers that all sidecars prefer for a prompt's shared parts, by a hash of both: its parts are read
  // there.
  static std::vector<const Instance*> Homes(const std::vector<const Instance*>& candidates,
                                            const RequestAttributes& attributes);

  Random random_;
  std::string zone_;  // empty: all are as near
  std::function<bool(const std::string& id)> connected_;
  std::map<std::string, Server> servers_;
  PrefillQueue prefill_queue_;
  double report_weight_ = 1;                 // sidecars for each one that tells of its prompts
  std::map<std::string, ReadSpeed> speeds_;  // by model
  std::vector<SentPrompt> prompts_;          // sent since the last report
  std::function<void(bool heavy)> on_news_;
};

// Where a window begins: the numbers are spread evenly over the ring.
std::size_t WindowOffset(int number, int sidecars, std::size_t ring);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_LOAD_BALANCER_HPP_
