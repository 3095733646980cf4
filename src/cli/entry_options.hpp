// What is told of a server by whoever registers it.
#ifndef VIOLETWING_CLI_ENTRY_OPTIONS_HPP_
#define VIOLETWING_CLI_ENTRY_OPTIONS_HPP_

#include <CLI/CLI.hpp>

#include "registry/core.hpp"

namespace violetwing::cli {

// `entry` outlives the app.
inline void AddEntryOptions(CLI::App& app, registry::Entry& entry) {
  app.add_option("--zone", entry.zone, "where it is");
  app.add_option("--region", entry.region, "where its zone is");
  app.add_option("--machine", entry.machine, "its machine type");
  app.add_option("--program", entry.version, "the version of its program");
  app.add_option("--cell", entry.cell, "its pod");
  app.add_option("--weight", entry.weight, "against the others")->capture_default_str();
  app.add_option("--started-ms", entry.started_ms, "Unix time of its last start; 0 = long ago");
}

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_ENTRY_OPTIONS_HPP_
