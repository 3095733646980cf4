// One request's way through the sidecar: its route, its server, further attempts, its answer.
#ifndef VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "dataplane/control_client/control_link.hpp"
#include "dataplane/ingress/ingress.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "dataplane/routing/directory.hpp"
#include "dataplane/routing/retry_budget.hpp"
#include "dataplane/upstream/upstream.hpp"

namespace violetwing {

class RequestRouter;

// What all requests of a sidecar share.
struct DataPlane {
  boost::asio::io_context& io;
  DirectoryPtr directory;
  LoadBalancer load_balancer;
  RetryBudget budget;
  UpstreamPool pool;
  Random random;
  ControlLink* link = nullptr;
  // Those that wait for a server that can run them: told of each new directory.
  std::set<std::shared_ptr<RequestRouter>> waiting;
};

class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
 public:
  RequestRouter(DataPlane& plane, ClientPtr client, ClientRequest request);
  void Start();
  // There is a new directory.
  void OnDirectory();
  // It still waits for a model: the placer is told again, as a message may have been lost.
  void TellWaiting() { CountDemand(true); }

 private:
  using Clock = std::chrono::steady_clock;

  bool FindRoute();
  void ReadAttributes();
  const configuration::Backend* PickBackend();
  void Dispatch();
  void Hold();
  void Send(const Instance& instance);
  std::string RequestText(const Instance& instance) const;

  void OnHead(const AnswerHead& head);
  void OnData(std::string_view piece);
  void OnEnd(ExchangeEnd end);
  void EndAttempt(AttemptResult result);
  void RetryOrRefuse();
  void RetryOrFail();
  bool WaitToRetry(bool arrived);

  // Final answers. A refusal promises that the request has not run and will not.
  // `come_back_s`: when the client may be served, as far as that is known.
  void Refuse(const char* why, double come_back_s = 0.05);
  void Fail(int status, const char* reason, const char* why);
  void OnDeadline();
  void OnClientGone();
  void End();
  void LogEnd() const;

  bool Repeatable() const { return route_->Repeatable(); }
  std::int64_t LeftMs() const;
  void CountDemand(bool waiting);

  DataPlane& plane_;
  ClientPtr client_;
  ClientRequest request_;
  DirectoryPtr directory_;  // holds the route
  const configuration::Route* route_ = nullptr;
  const configuration::Backend* backend_ = nullptr;
  std::string request_id_;
  std::vector<PromptPart> parts_;
  RequestAttributes attributes_;
  double tokens_ = 0;  // of prompt and answer, in tokens read
  Clock::time_point deadline_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer pause_;

  std::shared_ptr<UpstreamExchange> exchange_;
  std::string server_;  // id, of the attempt at hand
  Clock::time_point sent_at_;
  Clock::time_point first_byte_at_;
  const char* outcome_ = "";  // for the log
  int attempts_ = 0;          // that may have reached a server
  int refusals_ = 0;
  int unreachable_ = 0;
  bool may_have_run_ = false;
  bool answered_ = false;      // the attempt at hand has a first byte
  bool refused_ = false;       // the attempt at hand was turned away
  bool wrong_server_ = false;  // and has said that it is not the one that was meant, or lacks the model
  bool demanded_ = false;
  bool held_ = false;
  bool over_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_
