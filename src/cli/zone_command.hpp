// `violetwing zone`: drain, return and status of a zone, at the operators' addresses of sidecars.
#ifndef VIOLETWING_CLI_ZONE_COMMAND_HPP_
#define VIOLETWING_CLI_ZONE_COMMAND_HPP_

#include <CLI/CLI.hpp>

namespace violetwing::cli {

void AddZone(CLI::App& app, int& status);

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_ZONE_COMMAND_HPP_
