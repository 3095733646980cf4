// violetwing-node: one binary for both roles. `edge` serves clients' requests, `control` stores the system's
// state.
#include <event2/event.h>
#include <event2/thread.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <variant>

#include "common/node_settings.hpp"
#include "control/service/control_service.hpp"
#include "dataplane/edge_service.hpp"

namespace {

namespace options = boost::program_options;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr std::chrono::seconds kSettingsPollInterval{1};
constexpr const char* kDefaultSettings = "/etc/violetwing/settings.json";

// Prints the reason for the exit on one line and returns `status`.
int ExitWith(int status, const std::string& line) {
  std::cerr << "violetwing-node: " << line << "\n";
  return status;
}

std::string SettingsPath() {
  const char* path = std::getenv("VIOLETWING_SETTINGS");
  return path == nullptr ? kDefaultSettings : path;
}

// Applies the current settings file. An invalid file is logged and otherwise ignored.
template <class Service>
void Reload(Service& service) {
  const violetwing::SettingsResult read = violetwing::ReadNodeSettings(SettingsPath());
  if (const auto* settings = std::get_if<violetwing::NodeSettings>(&read))
    service.Reload(*settings);
  else
    spdlog::warn("settings not reloaded file={} error={}", SettingsPath(),
                 std::get<violetwing::SettingsError>(read).ToString());
}

int RunEdge(const violetwing::NodeSettings& settings) {
  if (settings.ingress.empty() || settings.readiness.empty())
    return ExitWith(kExitUsage, SettingsPath() + ": listeners_addr: ingress or readiness is missing");
  boost::asio::io_context io(1);
  violetwing::EdgeService service(io, settings);
  std::string problem;
  if (service.Start(problem)) return ExitWith(kExitFailure, problem);
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) service.Stop();
  });
  boost::asio::signal_set reload(io, SIGHUP);
  std::function<void()> await_reload = [&] {
    reload.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      Reload(service);
      await_reload();
    });
  };
  await_reload();
  // The file may also change without a SIGHUP.
  boost::asio::steady_timer poll_timer(io);
  std::function<void()> await_poll = [&] {
    poll_timer.expires_after(kSettingsPollInterval);
    poll_timer.async_wait([&](const boost::system::error_code& error) {
      if (error) return;
      Reload(service);
      await_poll();
    });
  };
  await_poll();
  io.run();
  return 0;
}

int RunControl(const violetwing::NodeSettings& settings) {
  if (settings.control_plane.empty())
    return ExitWith(kExitUsage, SettingsPath() + ": listeners_addr.control_plane: is missing");
  if (settings.data_dir.empty()) return ExitWith(kExitUsage, SettingsPath() + ": data_dir: is missing");
  event_base* base = event_base_new();
  violetwing::ControlService service(base, settings);
  if (const auto started = service.Start(); !started) return ExitWith(kExitFailure, started.error().message);
  const auto on_stop = [](evutil_socket_t, short, void* context) {
    static_cast<violetwing::ControlService*>(context)->Stop();
  };
  const auto on_reload = [](evutil_socket_t, short, void* context) {
    Reload(*static_cast<violetwing::ControlService*>(context));
  };
  event_add(evsignal_new(base, SIGTERM, on_stop, &service), nullptr);
  event_add(evsignal_new(base, SIGINT, on_stop, &service), nullptr);
  event_add(evsignal_new(base, SIGHUP, on_reload, &service), nullptr);
  const timeval poll_interval{kSettingsPollInterval.count(), 0};
  event_add(event_new(base, -1, EV_PERSIST, on_reload, &service), &poll_interval);
  event_base_dispatch(base);
  const int status = service.failure() ? ExitWith(kExitFailure, service.failure()->message) : 0;
  spdlog::info("control process stopped node={}", settings.node_name);
  // Exits without waiting for pending writes, as the disk may hang.
  std::_Exit(status);
}

int Run(int argc, char** argv) {
  options::options_description visible(
      "violetwing-node ROLE\n\nROLE is edge or control. Settings are read from the "
      "file that VIOLETWING_SETTINGS names.\n\nOptions");
  visible.add_options()("help,h", "this text")("log-level",
                                               options::value<std::string>()->default_value("info"),
                                               "trace, debug, info, warn, error, off");
  options::options_description all;
  all.add(visible).add_options()("role", options::value<std::string>());
  options::positional_options_description positional;
  positional.add("role", 1);
  options::variables_map arguments;
  try {
    options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(),
                   arguments);
    options::notify(arguments);
  } catch (const options::error& error) {
    return ExitWith(kExitUsage, error.what());
  }
  if (arguments.count("help") > 0) {
    std::cout << visible;
    return 0;
  }
  const std::string role = arguments.count("role") > 0 ? arguments["role"].as<std::string>() : "";
  if (role != "edge" && role != "control")
    return ExitWith(kExitUsage, "ROLE is edge or control; --help tells more");
  spdlog::set_default_logger(spdlog::stderr_logger_st("violetwing"));
  spdlog::set_level(spdlog::level::from_str(arguments["log-level"].as<std::string>()));
  signal(SIGPIPE, SIG_IGN);
  const violetwing::SettingsResult read = violetwing::ReadNodeSettings(SettingsPath());
  if (const auto* error = std::get_if<violetwing::SettingsError>(&read))
    return ExitWith(kExitUsage, SettingsPath() + ": " + error->ToString());
  const auto& settings = std::get<violetwing::NodeSettings>(read);
  return role == "edge" ? RunEdge(settings) : RunControl(settings);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing-node: %s\n", error.what());
    return kExitFailure;
  }
}
