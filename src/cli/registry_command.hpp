// `violetwing registry`: serve, get, watch, put, drain, rm, status, snapshot, restore, verify.
#ifndef VIOLETWING_CLI_REGISTRY_COMMAND_HPP_
#define VIOLETWING_CLI_REGISTRY_COMMAND_HPP_

#include <CLI/CLI.hpp>

namespace violetwing::cli {

// Adds the subcommand; `status` is the exit status once it has run, and must outlive the app.
void AddRegistry(CLI::App& app, int& status);

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_REGISTRY_COMMAND_HPP_
