// violetwing-node: one binary for both roles. `edge` serves clients' requests, `control` stores the system's
// state.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include "common/node_settings.hpp"
#include "node/roles.hpp"
#include "node/startup.hpp"

namespace {

namespace options = boost::program_options;
using violetwing::node::ExitWith;
using violetwing::node::RunControl;
using violetwing::node::RunEdge;

constexpr int kExitUsage = 2;
constexpr const char* kDefaultSettings = "/etc/violetwing/settings.json";

std::string SettingsPath() {
  const char* path = std::getenv("VIOLETWING_SETTINGS");
  return path == nullptr ? kDefaultSettings : path;
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
  const violetwing::SettingsResult read = violetwing::node::ReadSettingsAtStart(SettingsPath());
  if (const auto* error = std::get_if<violetwing::SettingsError>(&read))
    return ExitWith(kExitUsage, SettingsPath() + ": " + error->ToString());
  const auto& settings = std::get<violetwing::NodeSettings>(read);
  return role == "edge" ? RunEdge(settings, SettingsPath()) : RunControl(settings, SettingsPath());
}

}  // namespace

int main(int argc, char** argv) {
  violetwing::node::SetStartupSignalActions();
  violetwing::node::SetAllocatorOptions();
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing-node: %s\n", error.what());
    return violetwing::node::kExitFailure;
  }
}
