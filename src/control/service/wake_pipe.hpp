// A pipe by which another thread wakes an event loop (the self-pipe technique).
#ifndef VIOLETWING_CONTROL_SERVICE_WAKE_PIPE_HPP_
#define VIOLETWING_CONTROL_SERVICE_WAKE_PIPE_HPP_

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace violetwing {

/// Owns both ends, which are nonblocking. `Notify` may be called on any thread between `Open` and the
/// destruction; all other functions on one thread.
class WakePipe {
 public:
  WakePipe() = default;
  ~WakePipe() {
    for (const int fd : fds_)
      if (fd >= 0) close(fd);
  }
  WakePipe(const WakePipe&) = delete;
  WakePipe& operator=(const WakePipe&) = delete;

  /// Opens the pipe. Returns the error of the operating system, if any.
  std::error_code Open() {
    if (pipe2(fds_, O_CLOEXEC | O_NONBLOCK) == 0) return {};
    return {errno, std::generic_category()};
  }

  /// Makes the read end readable.
  void Notify() const {
    const char byte = 1;
    // A full pipe is readable already, so a failed write loses nothing.
    [[maybe_unused]] const ssize_t written = write(fds_[1], &byte, 1);
  }

  /// Discards all notifications so far, so that the read end is no longer readable.
  void Drain() const {
    char bytes[64];
    while (read(fds_[0], bytes, sizeof bytes) > 0) {
    }
  }

  /// The file descriptor that the event loop watches; -1 before `Open`.
  int read_fd() const { return fds_[0]; }

 private:
  int fds_[2] = {-1, -1};
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_SERVICE_WAKE_PIPE_HPP_
