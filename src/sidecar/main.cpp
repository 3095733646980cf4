// violetwing-sidecar: balances the requests of the application on the same host over its servers.
// SIGHUP reloads the discovery addresses from the configuration.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the configuration is invalid.
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "sidecar/config.hpp"
#include "sidecar/sidecar.hpp"

namespace {

using violetwing::sidecar::Sidecar;

// An exception that escapes a handler ends only that handler, not the process with its requests in flight.
void RunUntilStopped(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "violetwing-sidecar: %s\n", error.what());
    }
  }
}

const char* EnvironmentVariable(const char* name) { return std::getenv(name); }

// An invalid configuration must not end a running sidecar, which keeps its current one.
void Reload(Sidecar& sidecar) {
  try {
    sidecar.Reload(violetwing::sidecar::ReloadConfig(EnvironmentVariable));
  } catch (const violetwing::sidecar::ConfigError& error) {
    std::fprintf(stderr, "violetwing-sidecar: configuration not reloaded: %s\n", error.what());
  }
}

void ReloadOnHangup(boost::asio::signal_set& hangups, Sidecar& sidecar) {
  hangups.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    ReloadOnHangup(hangups, sidecar);
    Reload(sidecar);
  });
}

int Serve() {
  boost::asio::io_context io(1);
  Sidecar sidecar(io, violetwing::sidecar::LoadConfig(EnvironmentVariable));
  boost::asio::signal_set hangups(io, SIGHUP);
  ReloadOnHangup(hangups, sidecar);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) sidecar.Drain([&io] { io.stop(); });
  });
  try {
    sidecar.Start();
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "violetwing-sidecar: cannot listen: %s\n", error.what());
    return 1;
  }
  RunUntilStopped(io);
  return 0;
}

// Allocations of this size and above are mapped, so that the memory of a long body returns to the system when
// it is freed instead of staying in the heap.
constexpr int kMmapThresholdBytes = 32 * 1024;

}  // namespace

int main() {
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection returns an error instead
  try {
    return Serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing-sidecar: %s\n", error.what());
    return 2;
  }
}
