// The start of a process until its role runs: signals, settings, and errors that may pass.
#ifndef VIOLETWING_NODE_STARTUP_HPP_
#define VIOLETWING_NODE_STARTUP_HPP_

#include <functional>
#include <string>
#include <system_error>

#include "common/failure.hpp"
#include "common/node_settings.hpp"

namespace violetwing::node {

/// Exit status of a process that cannot start, or that ends because of an error.
inline constexpr int kExitFailure = 1;

/// Prints the reason for the exit on one line and returns `status`.
int ExitWith(int status, const std::string& line);

/// Sets the actions for signals until the role has handlers of its own: SIGTERM and SIGINT exit with status
/// 0, as nothing has been accepted yet, and SIGHUP is ignored, as the settings are still to be read. Ignores
/// SIGPIPE and SIGXFSZ for good, so that writes fail with an error instead.
void SetStartupSignalActions();

/// Makes the allocator return large blocks, such as the bodies of requests, to the system as they are freed.
void SetAllocatorOptions();

/// Reads the settings. Reads a file that is missing or invalid again for up to a second, as it may be in the
/// middle of being written.
SettingsResult ReadSettingsAtStart(const std::string& path);

/// Whether a start that has failed with this error may succeed later without other settings: an address that
/// a process which is ending still holds, or a lack of descriptors or memory.
bool MayPass(const std::error_code& error);

/// Calls `start` until it succeeds, with a pause after each error for which `may_pass` holds. Returns the
/// first other error.
Fallible<void> StartWithRetry(const std::function<Fallible<void>()>& start,
                              const std::function<bool(const std::error_code&)>& may_pass);

}  // namespace violetwing::node

#endif  // VIOLETWING_NODE_STARTUP_HPP_
