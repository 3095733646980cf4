// A control process: carries the calls of servers, the operator, the sidecars and the other control processes
// to the core, and what the core decides to the network and the disk. One loop; the disk has a thread.
#ifndef VIOLETWING_CONTROL_CONTROL_SERVICE_HPP_
#define VIOLETWING_CONTROL_CONTROL_SERVICE_HPP_

#include <event2/event.h>

#include <memory>
#include <string>
#include <system_error>

#include "common/node_settings.hpp"
#include "control/api/http_client.hpp"
#include "control/api/http_server.hpp"
#include "control/control_core.hpp"
#include "control/storage/store.hpp"

namespace violetwing {

class ControlService {
 public:
  ControlService(event_base* base, NodeSettings settings);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  // Opens the disk and listens. A reason in `problem` if it cannot.
  std::error_code Start(std::string& problem);
  // The settings file has changed.
  void Reload(const NodeSettings& settings);
  // Answers what is open and leaves the loop.
  void Stop();

 private:
  std::error_code OpenDisk(std::string& problem);
  std::error_code Listen(std::string& problem);
  std::error_code WatchDisk(std::string& problem);
  ControlCore::Outputs CoreOutputs();

  void Tick();
  // Orders that are due before the next tick go out on time: servers wait for them, and requests for servers.
  void AwaitOrders();
  void OnWritten();
  void Exchange(const std::string& address, const ExchangeRequest& request);
  void SendOrder(const PlacementCall& order, consensus::Term fencing_token);
  void AskReport(const PlacementCall& call);

  event_base* const base_;
  const NodeSettings settings_;
  const std::string incarnation_;  // one incarnation of this process
  Store store_;
  http::Server public_api_;
  http::Server internal_api_;
  http::Client client_;
  std::unique_ptr<ControlCore> core_;  // once the disk has been read
  event* tick_ = nullptr;
  event* orders_due_ = nullptr;
  event* written_event_ = nullptr;
  int written_pipe_[2] = {-1, -1};
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CONTROL_SERVICE_HPP_
