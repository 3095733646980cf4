// Child processes of the lab: started with an environment of their own, signalled, watched, and never
// outliving the lab.
#ifndef VIOLETWING_LAB_PROCESS_SHELL_HPP_
#define VIOLETWING_LAB_PROCESS_SHELL_HPP_

#include <sys/types.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/shell.hpp"

namespace violetwing::lab {

struct Usage {
  double cpu_s = 0;
  double memory_mb = 0;
  int descriptors = 0;
};

// What the system says of a process; zeros if it is gone.
Usage UsageOf(pid_t pid);

// Tells of SIGINT and SIGTERM to this process, as long as it lives.
class EndSignals {
 public:
  EndSignals(asio::io_context& io, std::function<void()> on_signal);

 private:
  asio::signal_set signals_;
};

class Children;

class Child : public std::enable_shared_from_this<Child> {
 public:
  struct Start {
    std::vector<std::string> arguments;              // the program first, by its path
    std::map<std::string, std::string> environment;  // added to the lab's own
    int passed_descriptor = -1;                      // kept open in the child, under this number
  };
  struct Events {
    std::function<void(const std::string& line)> on_line;  // of standard output and error
    std::function<void(const std::string& how, bool cleanly)> on_end;
  };

  pid_t pid() const { return pid_; }
  bool running() const { return running_; }
  void Signal(int signal) const;
  // Bounds its descriptors from now on; 0 = as before.
  void LimitDescriptors(int most) const;

 private:
  friend class Children;
  Child(asio::io_context& io, Events events) : output_(io), events_(std::move(events)) {}
  void ReadOutput();
  void TakeLines(bool last);
  void OnExit(int status);
  void Finish();

  pid_t pid_ = 0;
  bool running_ = false;
  bool exited_ = false;
  bool output_ended_ = false;
  int status_ = 0;
  asio::posix::stream_descriptor output_;
  std::array<char, 4096> input_{};
  std::string line_;
  Events events_;
};

// Starts children and hears of their ends. One for a process: it takes SIGCHLD.
class Children {
 public:
  explicit Children(asio::io_context& io);
  ~Children();  // kills those that are left
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;

  // Throws std::system_error if it cannot be started.
  std::shared_ptr<Child> Start(const Child::Start& start, Child::Events events);

 private:
  void Watch();
  void Reap();

  asio::io_context& io_;
  asio::signal_set signals_;
  std::vector<std::shared_ptr<Child>> children_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_PROCESS_SHELL_HPP_
