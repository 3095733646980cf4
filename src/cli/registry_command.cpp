#include "cli/registry_command.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "cli/entry_options.hpp"
#include "cli/http_call.hpp"
#include "common/http_client.hpp"
#include "registry/service.hpp"
#include "registry/store.hpp"

namespace violetwing::cli {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kUsual = "127.0.0.1:8500";

// What the calls share; CLI11 writes into it.
struct Options {
  std::string at = kUsual;
  bool json = false;
  std::string config;
  std::int64_t from = 0;
  int count = 0;
  std::string batch;
  registry::Entry entry;
  double term_s = 0;
  std::string lifecycle = "up";
  std::int64_t if_version = -1;
  std::string key;
  std::string file;
  std::string target;
  std::int64_t epoch = 0;
  std::vector<std::string> follow;
  bool force = false;
};

int Serve(const Options& options) {
  boost::asio::io_context io(1);
  registry::ServiceConfig config = registry::LoadServiceConfig(options.config);
  config.follows = config.follows || !options.follow.empty();
  for (const std::string& other : options.follow) {
    const auto address = ParseEndpoint(other);
    if (!address) throw std::runtime_error("--follow '" + other + "': no address with a port");
    if (std::find(config.others.begin(), config.others.end(), *address) == config.others.end())
      config.others.push_back(*address);
  }
  registry::Service service(io, std::move(config));
  try {
    service.Start();
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "violetwing: cannot listen: %s\n", error.what());
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code& error, int) {
    if (!error) io.stop();
  });
  const std::string address = ToText(service.address());
  std::printf("serving at %s, generation %lld\n", address.c_str(),
              static_cast<long long>(service.core().generation()));
  std::fflush(stdout);
  io.run();
  return 0;
}

// Prints the answer as it is with --json, or its error. 0 yes, 1 no, 2 it made no sense.
int Tell(const HttpAnswer& answer, bool json) {
  const Json body = Json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (answer.status == 200) {
    if (json) {
      std::printf("%s", answer.body.c_str());
    } else {
      for (const auto& [key, value] : body.items())
        std::printf("%-14s %s\n", key.c_str(), value.dump().c_str());
    }
    return 0;
  }
  const std::string why =
      body.is_object() ? body.value("error", std::string("no reason given")) : "no reason given";
  std::fprintf(stderr, "violetwing: %s (%d)\n", why.c_str(), answer.status);
  return answer.status == 400 ? 2 : 1;
}

int Get(const Options& options) {
  const HttpAnswer answer = Call(options.at, "GET", "/v1/endpoints");
  const Json list = Json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (answer.status != 200 || list.is_discarded() || options.json) return Tell(answer, options.json);
  std::printf("generation %s\n", list["generation"].dump().c_str());
  std::printf("%-20s %-22s %-10s %-10s %-8s %s\n", "id", "address", "zone", "machine", "state", "version");
  for (const Json& entry : list["instances"])
    std::printf("%-20s %-22s %-10s %-10s %-8s %s\n", entry.value("instanceId", "").c_str(),
                entry.value("hostPort", "").c_str(), entry.value("zone", "").c_str(),
                entry.value("machineType", "").c_str(), entry.value("lifecycle", "").c_str(),
                entry.value("version", "").c_str());
  if (list.value("stale", false)) std::printf("stale: this registry hears nothing of a primary\n");
  if (list.contains("preserving")) std::printf("self-preservation: %s\n", list["preserving"].dump().c_str());
  return 0;
}

int Watch(const Options& options) {
  int left = options.count;
  Follow(options.at, "/v1/endpoints?stream=1&index=" + std::to_string(options.from),
         [&](const std::string& line) {
           if (line.find_first_not_of(" \r") == std::string::npos) return true;
           std::printf("%s\n", line.c_str());
           std::fflush(stdout);
           return options.count == 0 || --left > 0;
         });
  return options.count == 0 || left > 0 ? 1 : 0;  // it ended by itself
}

int Write(const Options& options, Json operation) {
  if (options.if_version >= 0) operation["if_version"] = options.if_version;
  Json batch = {{"operations", Json::array({std::move(operation)})}};
  if (!options.key.empty()) batch["key"] = options.key;
  return Tell(Call(options.at, "POST", "/v1/writes", batch.dump()), options.json);
}

int Put(const Options& options) {
  if (!options.batch.empty()) {
    std::ifstream in(options.batch, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw std::runtime_error(options.batch + ": cannot be read");
    return Tell(Call(options.at, "POST", "/v1/writes", text.str()), options.json);
  }
  const registry::Entry& entry = options.entry;
  return Write(options, {{"do", "register"},
                         {"entry",
                          {{"instanceId", entry.id},
                           {"hostPort", entry.address},
                           {"zone", entry.zone},
                           {"region", entry.region},
                           {"machineType", entry.machine},
                           {"version", entry.version},
                           {"cell", entry.cell},
                           {"lifecycle", options.lifecycle},
                           {"weight", entry.weight},
                           {"startedAtMs", entry.started_ms},
                           {"holder", entry.holder},
                           {"term_s", options.term_s}}}});
}

int Verify(const Options& options) {
  try {
    const registry::Core::State state = registry::Store::Verify(options.file);
    std::printf("whole: epoch %lld, change %lld, %zu entries\n", static_cast<long long>(state.epoch),
                static_cast<long long>(state.change), state.entries.size());
    return 0;
  } catch (const registry::StoreError& error) {
    std::fprintf(stderr, "violetwing: %s\n", error.what());
    return 1;
  }
}

using OptionsPtr = std::shared_ptr<Options>;

CLI::App* Calling(CLI::App* registry, const char* name, const char* text, const OptionsPtr& options) {
  CLI::App* const command = registry->add_subcommand(name, text);
  command->add_option("--at", options->at, "the registry's address")->capture_default_str();
  command->add_flag("--json", options->json, "as JSON");
  return command;
}

void AddWrites(CLI::App* registry, const OptionsPtr& options, int& status) {
  CLI::App* const put = Calling(registry, "put", "Register one server, or do a batch from a file", options);
  CLI::Option* const batch =
      put->add_option("--batch", options->batch, "a file of operations, done as one version");
  CLI::Option* const id = put->add_option("--id", options->entry.id, "the server's id");
  put->add_option("--address", options->entry.address, "host:port")->needs(id);
  AddEntryOptions(*put, options->entry);
  put->add_option("--state", options->lifecycle, "up or draining")->capture_default_str();
  put->add_option("--holder", options->entry.holder, "of its lease; without one it stays until rm");
  put->add_option("--term-s", options->term_s, "of its lease");
  batch->excludes(id);
  put->callback([options, &status] {
    if (options->batch.empty() && options->entry.id.empty())
      throw CLI::ValidationError("put", "--id or --batch");
    status = Put(*options);
  });
  CLI::App* const drain =
      Calling(registry, "drain", "Nothing new to a server; what it has finishes", options);
  CLI::App* const remove = Calling(registry, "rm", "Take a server out of the list", options);
  for (const auto& [command, what] : {std::pair{drain, "drain"}, {remove, "deregister"}}) {
    command->add_option("ID", options->target, "the server's id")->required();
    command->callback([options, &status, what = std::string(what)] {
      status = Write(*options, {{"do", what}, {"id", options->target}});
    });
  }
  for (CLI::App* const command : {put, drain, remove}) {
    command->add_option("--if-version", options->if_version,
                        "only if the entry's last change was this; 0 = none yet");
    command->add_option("--key", options->key, "a second call with it does nothing");
  }
}

void AddStore(CLI::App* registry, const OptionsPtr& options, int& status) {
  CLI::App* const snapshot =
      Calling(registry, "snapshot", "Have a whole copy written, of one version", options);
  snapshot->add_option("NAME", options->target, "file name in the registry's directory for snapshots")
      ->required();
  snapshot->callback([options, &status] {
    status = Tell(Call(options->at, "POST", "/v1/snapshots", Json({{"name", options->target}}).dump()),
                  options->json);
  });
  CLI::App* const restore =
      registry->add_subcommand("restore", "Make a store from a snapshot, of a higher epoch");
  restore->add_option("SNAPSHOT", options->file, "the snapshot")->required();
  restore->add_option("STORE", options->target, "the store to be made")->required();
  restore->add_option("--epoch", options->epoch, "above any that served before")->required();
  restore->callback([options, &status] {
    registry::Store::Restore(options->file, options->target, options->epoch);
    std::printf("restored, epoch %lld\n", static_cast<long long>(options->epoch));
    status = 0;
  });
  CLI::App* const verify = registry->add_subcommand("verify", "Whether a store that nobody uses is whole");
  verify->add_option("STORE", options->file, "the store, or a snapshot")->required();
  verify->callback([options, &status] { status = Verify(*options); });
}

}  // namespace

void AddRegistry(CLI::App& app, int& status) {
  CLI::App* const registry = app.add_subcommand("registry", "The project's own discovery service");
  registry->require_subcommand(1);
  const auto options = std::make_shared<Options>();

  CLI::App* const serve = registry->add_subcommand("serve", "Serve a store until SIGTERM");
  serve->add_option("--config", options->config, "TOML: listen, store and more")->required();
  serve->add_option("--follow", options->follow,
                    "registries to follow; a new store writes nothing until promoted");
  serve->callback([options, &status] { status = Serve(*options); });

  CLI::App* const get = Calling(registry, "get", "The list", options);
  get->callback([options, &status] { status = Get(*options); });
  CLI::App* const watch = Calling(registry, "watch", "The list and its changes, a line each", options);
  watch->add_option("--from", options->from, "the generation that is known already");
  watch->add_option("--count", options->count, "end after so many lines; 0 = never")
      ->check(CLI::NonNegativeNumber);
  watch->callback([options, &status] { status = Watch(*options); });
  CLI::App* const state = Calling(registry, "status", "Epoch, generation, leases, watchers", options);
  state->callback(
      [options, &status] { status = Tell(Call(options->at, "GET", "/v1/status"), options->json); });
  CLI::App* const promote = Calling(registry, "promote", "Make a follower the primary", options);
  promote->add_option("--epoch", options->epoch, "above any that served before")->required();
  promote->add_flag("--force", options->force, "also while another primary answers, or has a later list");
  promote->callback([options, &status] {
    status = Tell(Call(options->at, "POST", "/v1/promote",
                       Json({{"epoch", options->epoch}, {"force", options->force}}).dump()),
                  options->json);
  });
  AddWrites(registry, options, status);
  AddStore(registry, options, status);
}

}  // namespace violetwing::cli
