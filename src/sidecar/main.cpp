// violetwing-sidecar: a sidecar that balances the load of the application beside it over its servers.
// SIGHUP makes it follow the discovery that its configuration names by then.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the configuration makes no sense.
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

// What escapes a handler ends that handler and not the sidecar, with all that it holds.
void RunToTheEnd(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "violetwing-sidecar: %s\n", error.what());
    }
  }
}

const char* Variable(const char* name) { return std::getenv(name); }

// A configuration that makes no sense must not end a sidecar that runs: it goes on with the one it has.
void Reload(Sidecar& sidecar) {
  try {
    sidecar.Reload(violetwing::sidecar::ReloadConfig(Variable));
  } catch (const violetwing::sidecar::ConfigError& error) {
    std::fprintf(stderr, "violetwing-sidecar: not reloaded: %s\n", error.what());
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
  Sidecar sidecar(io, violetwing::sidecar::LoadConfig(Variable));
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
  RunToTheEnd(io);
  return 0;
}

// What a long body held goes back to the system when it is dropped, and is not kept in the heap.
constexpr int kMapFrom = 32 * 1024;

}  // namespace

int main() {
  ::mallopt(M_MMAP_THRESHOLD, kMapFrom);
  std::signal(SIGPIPE, SIG_IGN);  // a peer that has left is an error of the write, not the end
  try {
    return Serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing-sidecar: %s\n", error.what());
    return 2;
  }
}
