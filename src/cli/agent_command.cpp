#include "cli/agent_command.hpp"

#include <sys/types.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/entry_options.hpp"
#include "registry/agent/shell.hpp"

namespace violetwing::cli {
namespace {

constexpr std::chrono::milliseconds kLookEvery(200);  // whether the server process is there

struct Options {
  std::vector<std::string> at{"127.0.0.1:8500"};
  registry::Entry entry;
  double term_s = 10;
  double drain_s = 2;
  double leave_s = 10;
  int pid = 0;
};

std::string UsualHolder() {
  char host[256] = "";
  ::gethostname(host, sizeof host - 1);
  return std::string(host) + "-" + std::to_string(::getpid());
}

// Ends the lease when the server process has ended, as SIGTERM does.
void WatchProcess(boost::asio::steady_timer& timer, pid_t pid, registry::LeaseHolder& lease) {
  timer.expires_after(kLookEvery);
  timer.async_wait([&timer, pid, &lease](boost::system::error_code error) {
    if (error) return;
    if (::kill(pid, 0) == 0 || errno == EPERM) return WatchProcess(timer, pid, lease);
    std::printf("process %d has ended\n", static_cast<int>(pid));
    std::fflush(stdout);
    lease.Want(registry::LeaseCore::Wanted::kGone);
  });
}

int Register(const Options& options) {
  registry::Entry entry = options.entry;
  if (entry.holder.empty()) entry.holder = UsualHolder();
  registry::LeaseCore::Settings settings;
  settings.term = static_cast<registry::Micros>(options.term_s * 1e6);
  settings.drain = static_cast<registry::Micros>(options.drain_s * 1e6);
  settings.leave = static_cast<registry::Micros>(options.leave_s * 1e6);
  entry.term = settings.term;
  if (const std::string wrong = registry::Wrong(entry); !wrong.empty()) throw std::runtime_error(wrong);
  std::vector<registry::LeaseHolder::Endpoint> registries;
  for (const std::string& text : options.at) {
    const auto address = ParseEndpoint(text);
    if (!address) throw std::runtime_error("--at '" + text + "': no address with a port");
    registries.push_back(*address);
  }
  boost::asio::io_context io(1);
  int status = 0;
  registry::LeaseHolder::Events events;
  events.on_event = [](const std::string& what) {
    std::printf("%s\n", what.c_str());
    std::fflush(stdout);
  };
  events.on_end = [&](int ended) {
    status = ended;
    io.stop();
  };
  registry::LeaseHolder lease(io, std::move(registries), std::move(entry), settings, std::random_device()(),
                              std::move(events));
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) lease.Want(registry::LeaseCore::Wanted::kGone);
  });
  boost::asio::steady_timer looks(io);
  if (options.pid > 0) WatchProcess(looks, options.pid, lease);
  lease.Start();
  io.run();
  return status;
}

}  // namespace

void AddAgent(CLI::App& app, int& status) {
  CLI::App* const agent = app.add_subcommand("agent", "What runs beside one server process");
  agent->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  CLI::App* const hold =
      agent->add_subcommand("register", "Hold a lease for it; drain it and take it out on SIGTERM");
  hold->add_option("--at", options->at, "the registries, tried in turn")->capture_default_str();
  hold->add_option("--id", options->entry.id, "the server's id")->required();
  hold->add_option("--address", options->entry.address, "host:port")->required();
  AddEntryOptions(*hold, options->entry);
  hold->add_option("--holder", options->entry.holder, "of the lease; this host and process if not given");
  hold->add_option("--term-s", options->term_s, "of the lease")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  hold->add_option("--drain-s", options->drain_s, "from the drain to the end of the entry")
      ->check(CLI::Range(0.0, 3600.0))
      ->capture_default_str();
  hold->add_option("--leave-s", options->leave_s, "how long leaving is tried where no registry answers")
      ->check(CLI::Range(0.0, 3600.0))
      ->capture_default_str();
  hold->add_option("--pid", options->pid, "the server's process: its end is taken as SIGTERM is");
  hold->callback([options, &status] { status = Register(*options); });
}

}  // namespace violetwing::cli
