#include "node/startup.hpp"

#include <malloc.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/system/system_error.hpp>
#include <chrono>
#include <iostream>
#include <thread>
#include <utility>
#include <variant>

namespace violetwing::node {
namespace {

constexpr std::chrono::milliseconds kStartRetryDelay{100};
constexpr std::chrono::milliseconds kSettingsRetryDelay{50};
constexpr int kSettingsRetries = 20;
constexpr int kLargeBlockBytes = 128 * 1024;

constexpr std::errc kPassingErrors[] = {std::errc::address_in_use,
                                        std::errc::address_not_available,
                                        std::errc::too_many_files_open,
                                        std::errc::too_many_files_open_in_system,
                                        std::errc::no_buffer_space,
                                        std::errc::not_enough_memory,
                                        std::errc::resource_unavailable_try_again};

void SetAction(int number, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  sigaction(number, &action, nullptr);
}

}  // namespace

int ExitWith(int status, const std::string& line) {
  std::cerr << "violetwing-node: " << line << "\n";
  return status;
}

void SetStartupSignalActions() {
  SetAction(SIGHUP, SIG_IGN);
  SetAction(SIGPIPE, SIG_IGN);
  SetAction(SIGXFSZ, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT}) SetAction(number, [](int) { _exit(0); });
}

void SetAllocatorOptions() {
  // A fixed threshold: by default it rises with the size of the blocks that were freed.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

SettingsResult ReadSettingsAtStart(const std::string& path) {
  for (int retry = 0; retry < kSettingsRetries; ++retry) {
    SettingsResult read = ReadNodeSettings(path);
    if (std::holds_alternative<NodeSettings>(read)) return read;
    std::this_thread::sleep_for(kSettingsRetryDelay);
  }
  return ReadNodeSettings(path);
}

bool MayPass(const std::error_code& error) {
  for (const std::errc passing : kPassingErrors)
    if (error == passing) return true;
  return false;
}

namespace {

// Event loops and threads report a lack of descriptors or memory by exceptions.
Fallible<void> CatchSystemErrors(const std::function<Fallible<void>()>& start) {
  try {
    return start();
  } catch (const std::system_error& error) {
    return Failure{error.code(), error.what()};
  } catch (const boost::system::system_error& error) {
    return Failure{error.code(), error.what()};
  }
}

}  // namespace

Fallible<void> StartWithRetry(const std::function<Fallible<void>()>& start,
                              const std::function<bool(const std::error_code&)>& may_pass) {
  std::string logged;
  while (true) {
    Fallible<void> started = CatchSystemErrors(start);
    if (started || !may_pass(started.error().code)) return started;
    if (std::exchange(logged, started.error().message) != started.error().message)
      spdlog::warn("start failed, will be retried retry_ms={} error={}", kStartRetryDelay.count(),
                   started.error().message);
    std::this_thread::sleep_for(kStartRetryDelay);
  }
}

}  // namespace violetwing::node
