#include "node/roles.hpp"

#include <event2/event.h>
#include <signal.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "control/service/control_service.hpp"
#include "dataplane/edge_service.hpp"
#include "node/startup.hpp"

namespace violetwing::node {
namespace {

constexpr int kExitUsage = 2;
constexpr std::chrono::seconds kSettingsPollInterval{1};

// Applies the current settings file. An invalid file is logged and otherwise ignored.
template <class Service>
void Reload(Service& service, const std::string& settings_path) {
  const SettingsResult read = ReadNodeSettings(settings_path);
  if (const auto* settings = std::get_if<NodeSettings>(&read))
    service.Reload(*settings);
  else
    spdlog::warn("settings not reloaded file={} error={}", settings_path,
                 std::get<SettingsError>(read).ToString());
}

// An edge and its event loop, which a failed start discards together.
struct Edge {
  explicit Edge(const NodeSettings& settings) : service(io, settings) {}

  boost::asio::io_context io{1};
  EdgeService service;
};

// Handles the signals of an edge, and polls its settings file, as that may also change without a SIGHUP.
class EdgeSignals {
 public:
  EdgeSignals(Edge& edge, const std::string& settings_path)
      : edge_(edge),
        settings_path_(settings_path),
        stop_(edge.io, SIGTERM, SIGINT),
        reload_(edge.io, SIGHUP),
        poll_timer_(edge.io) {
    stop_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) edge_.service.Stop();
    });
    AwaitReload();
    AwaitPoll();
  }

 private:
  void AwaitReload() {
    reload_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      Reload(edge_.service, settings_path_);
      AwaitReload();
    });
  }
  void AwaitPoll() {
    poll_timer_.expires_after(kSettingsPollInterval);
    poll_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      Reload(edge_.service, settings_path_);
      AwaitPoll();
    });
  }

  Edge& edge_;
  const std::string settings_path_;
  boost::asio::signal_set stop_;
  boost::asio::signal_set reload_;
  boost::asio::steady_timer poll_timer_;
};

using EventBasePtr = std::unique_ptr<event_base, decltype(&event_base_free)>;

// What a control process's signal handlers need.
struct ControlContext {
  ControlService& service;
  const std::string& settings_path;
};

void AddControlEvents(event_base* base, ControlContext& context) {
  const auto on_stop = [](evutil_socket_t, short, void* argument) {
    static_cast<ControlContext*>(argument)->service.Stop();
  };
  const auto on_reload = [](evutil_socket_t, short, void* argument) {
    auto* const control = static_cast<ControlContext*>(argument);
    Reload(control->service, control->settings_path);
  };
  event_add(evsignal_new(base, SIGTERM, on_stop, &context), nullptr);
  event_add(evsignal_new(base, SIGINT, on_stop, &context), nullptr);
  event_add(evsignal_new(base, SIGHUP, on_reload, &context), nullptr);
  const timeval poll_interval{kSettingsPollInterval.count(), 0};
  event_add(event_new(base, -1, EV_PERSIST, on_reload, &context), &poll_interval);
}

}  // namespace

int RunEdge(const NodeSettings& settings, const std::string& settings_path) {
  if (settings.ingress.empty() || settings.readiness.empty())
    return ExitWith(kExitUsage, settings_path + ": listeners_addr: ingress or readiness is missing");
  std::unique_ptr<Edge> edge;
  std::unique_ptr<EdgeSignals> signals;
  const Fallible<void> started = StartWithRetry(
      [&] {
        SetStartupSignalActions();
        edge = std::make_unique<Edge>(settings);
        Fallible<void> service_started = edge->service.Start();
        if (service_started) signals = std::make_unique<EdgeSignals>(*edge, settings_path);
        return service_started;
      },
      MayPass);
  if (!started) return ExitWith(kExitFailure, started.error().message);
  edge->io.run();
  // Exits without destructors, which would restore the default actions of signals.
  std::_Exit(EXIT_SUCCESS);
}

int RunControl(const NodeSettings& settings, const std::string& settings_path) {
  if (settings.control_plane.empty())
    return ExitWith(kExitUsage, settings_path + ": listeners_addr.control_plane: is missing");
  if (settings.data_dir.empty()) return ExitWith(kExitUsage, settings_path + ": data_dir: is missing");
  EventBasePtr base(nullptr, &event_base_free);
  std::unique_ptr<ControlService> service;
  const Fallible<void> started = StartWithRetry(
      [&] {
        service.reset();
        base.reset(event_base_new());
        if (base == nullptr)
          return Fallible<void>(
              Failure{std::make_error_code(std::errc::too_many_files_open), "no event loop"});
        service = std::make_unique<ControlService>(base.get(), settings);
        return service->Start();
      },
      [](const std::error_code& error) {
        return MayPass(error) || ControlService::MayStoreErrorPass(error);
      });
  if (!started) return ExitWith(kExitFailure, started.error().message);
  ControlContext context{*service, settings_path};
  AddControlEvents(base.get(), context);
  event_base_dispatch(base.get());
  const int status = service->failure() ? ExitWith(kExitFailure, service->failure()->message) : EXIT_SUCCESS;
  spdlog::info("control process stopped node={}", settings.node_name);
  // Exits without waiting for pending writes, as the disk may hang.
  std::_Exit(status);
}

}  // namespace violetwing::node
