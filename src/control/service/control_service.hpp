// The I/O layer of a control process: passes the calls of servers, the operator, sidecars and other control
// processes to the core, and carries out the core's actions on the network and the disk. Runs on one event
// loop; the store has a thread of its own.
#ifndef VIOLETWING_CONTROL_SERVICE_CONTROL_SERVICE_HPP_
#define VIOLETWING_CONTROL_SERVICE_CONTROL_SERVICE_HPP_

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "common/failure.hpp"
#include "common/node_settings.hpp"
#include "control/api/guarded_client.hpp"
#include "control/api/http_client.hpp"
#include "control/api/http_server.hpp"
#include "control/core/control_core.hpp"
#include "control/service/wake_pipe.hpp"
#include "control/storage/store.hpp"

namespace violetwing {

/// All calls on the thread of the event loop.
class ControlService {
 public:
  /// `base` has to outlive the service.
  ControlService(event_base* base, NodeSettings settings);
  ~ControlService() = default;
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /// Opens the store and starts to listen. After an error the process has to end, because its replicas must
  /// not vote or answer based on a part of their stored state. Errors: StorageErrc, ControlErrc, and those of
  /// the sockets.
  Fallible<void> Start();
  /// Whether a store that could not be opened for this error may be opened later: one that another process
  /// still has open, or one on a full or failing disk.
  static bool MayStoreErrorPass(const std::error_code& error);
  /// Applies the seeds of a changed settings file; changes of other settings need a restart.
  void Reload(const NodeSettings& settings);
  /// Answers pending calls and ends the event loop after a grace period.
  void Stop();
  /// The reason why the service has ended the event loop: a snapshot that cannot be read. Empty otherwise.
  const std::optional<Failure>& failure() const { return failure_; }

 private:
  struct EventDeleter {
    void operator()(event* owned) const { event_free(owned); }
  };
  using EventPtr = std::unique_ptr<event, EventDeleter>;

  Fallible<void> OpenStore();
  Fallible<void> Listen();
  // Starts the store's thread, which reports durable writes through the pipe.
  Fallible<void> StartStore();
  void StartTimers();
  void OnShardFailed(int shard, std::error_code error);
  ControlCore::Outputs CoreOutputs();

  void Tick();
  // Schedules an order that is due before the next tick, because requests wait for the models that orders
  // load.
  void ScheduleOrders();
  void OnOrdersDue();
  // Schedules an election that is due before the next tick.
  void ScheduleElection();
  void OnElectionDue();
  // Schedules `timer` for `due` if that is before the next tick.
  static void ScheduleBeforeTick(event* timer, std::optional<std::int64_t> due);
  void OnWritesDurable();
  void BeginExchange(const std::string& address, const ExchangeRequest& request);
  // SendOrder and CallPlatform do not send a call whose lease ends before the first byte of the request is
  // written.
  void SendOrder(const PlacementCall& order, duties::FencingToken token);
  void CallPlatform(const duties::PlatformCall& call);
  // A guard that allows a call while this process holds the duty's lease under this token.
  http::GuardedClient::Guard HoldsLease(duties::Duty duty, duties::FencingToken token) const;
  void RequestReport(const PlacementCall& call);

  event_base* const base_;
  const NodeSettings settings_;
  const std::string incarnation_;  // of this process, with a random part
  WakePipe writes_pipe_;           // outlives the store's thread, which writes to it
  Store store_;
  http::Server public_api_;
  http::Server internal_api_;
  http::Client client_;
  http::GuardedClient duty_client_;    // for calls that need a lease
  std::unique_ptr<ControlCore> core_;  // created once the store has been read
  EventPtr tick_event_;
  EventPtr orders_event_;
  EventPtr election_event_;
  EventPtr writes_event_;  // reads `writes_pipe_`
  bool stopping_ = false;
  std::optional<Failure> failure_;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_SERVICE_CONTROL_SERVICE_HPP_
