// violetwing: what an operator runs. Exit status: 0 yes, 1 the answer is no, 2 the call or its input makes no
// sense.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "cli/agent_command.hpp"
#include "cli/http_call.hpp"
#include "cli/lab_command.hpp"
#include "cli/registry_command.hpp"
#include "cli/zone_command.hpp"

namespace {

// Messages are one line, whatever a library words.
std::string OneLine(std::string text) {
  for (char& c : text)
    if (c == '\n' || c == '\r') c = ' ';
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  int status = 0;
  try {
    CLI::App app(
        "What operators of violetwing run: discovery, leases, zones, and a lab that plays a fleet and judges "
        "it");
    app.set_version_flag("--version", std::string("violetwing ") + VIOLETWING_VERSION);
    app.require_subcommand(1);
    violetwing::cli::AddLab(app, status);
    violetwing::cli::AddRegistry(app, status);
    violetwing::cli::AddAgent(app, status);
    violetwing::cli::AddZone(app, status);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      if (error.get_exit_code() == 0) return app.exit(error);  // help and version
      std::fprintf(stderr, "violetwing: %s\n", OneLine(error.what()).c_str());
      return 2;
    }
  } catch (const violetwing::cli::Unreachable& error) {
    std::fprintf(stderr, "violetwing: %s\n", OneLine(error.what()).c_str());
    return 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing: %s\n", OneLine(error.what()).c_str());
    return 2;
  }
  return status;
}
