// `violetwing agent`: what runs beside one server process.
#ifndef VIOLETWING_CLI_AGENT_COMMAND_HPP_
#define VIOLETWING_CLI_AGENT_COMMAND_HPP_

#include <CLI/CLI.hpp>

namespace violetwing::cli {

void AddAgent(CLI::App& app, int& status);

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_AGENT_COMMAND_HPP_
