// `violetwing lab`: check, run, list, compare, trace.
#ifndef VIOLETWING_CLI_LAB_COMMAND_HPP_
#define VIOLETWING_CLI_LAB_COMMAND_HPP_

#include <CLI/CLI.hpp>

namespace violetwing::cli {

// Adds the subcommand; `status` is the exit status once it has run, and must outlive the app.
void AddLab(CLI::App& app, int& status);

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_LAB_COMMAND_HPP_
