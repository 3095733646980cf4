// Starts and stops violetwing-node processes for tests and scale tests. The macro VIOLETWING_NODE_PROGRAM is
// the path of the binary; the environment variable NODE_PROGRAM names another one, such as an earlier
// version.
#ifndef VIOLETWING_TESTS_TESTING_NODE_PROCESS_HPP_
#define VIOLETWING_TESTS_TESTING_NODE_PROCESS_HPP_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace violetwing::testing {

// A violetwing-node process with its own directory and address. The destructor kills it.
class NodeProcess {
 public:
  enum class Begin { kStarted, kStopped };

  NodeProcess(const std::filesystem::path& folder, std::string role, const nlohmann::json& settings,
              Begin begin = Begin::kStarted)
      : role_(std::move(role)), settings_file_((folder / "settings.json").string()) {
    std::filesystem::create_directories(folder / "data");
    nlohmann::json all = settings;
    all["data_dir"] = (folder / "data").string();
    std::ofstream(settings_file_) << all.dump();
    if (begin == Begin::kStarted) Start();
  }
  std::string data_dir() const {
    return (std::filesystem::path(settings_file_).parent_path() / "data").string();
  }
  ~NodeProcess() { Kill(); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void Start() { Spawn("warn", nullptr); }
  // Starts the process with its log, at level info, appended to the file log_file().
  void StartWithLog() {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    Spawn("info", &actions);
    posix_spawn_file_actions_destroy(&actions);
  }
  std::string log_file() const { return settings_file_ + ".log"; }
  const std::string& settings_file() const { return settings_file_; }
  // Exit status of a process, and its output on standard error.
  struct Ended {
    int status = -1;  // -1: killed by a signal, or still running after 30 s
    std::string log;
  };
  // Starts the process and waits until it exits by itself.
  Ended StartAndAwaitEnd() {
    const std::string log = log_file();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    Spawn("off", &actions);
    posix_spawn_file_actions_destroy(&actions);
    Ended ended{AwaitExit(), {}};
    std::ifstream written(log);
    ended.log.assign(std::istreambuf_iterator<char>(written), {});
    return ended;
  }
  void Kill() {
    if (id_ == 0) return;
    kill(id_, SIGKILL);
    waitpid(std::exchange(id_, 0), nullptr, 0);
  }
  // Sends SIGTERM and returns the exit status; -1 if killed by a signal or still running after 30 s.
  int Stop() {
    if (id_ == 0) return -1;
    kill(id_, SIGTERM);
    return AwaitExit();
  }

  void Signal(int number) const {
    if (id_ != 0) kill(id_, number);
  }
  // Returns the wait status (waitpid(2)) of a process that has ended, once.
  std::optional<int> TakeEnd() {
    int status = 0;
    if (id_ == 0 || waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
    id_ = 0;
    return status;
  }

  pid_t id() const { return id_; }

 private:
  void Spawn(const char* log_level, const posix_spawn_file_actions_t* actions) {
    const std::string variable = "VIOLETWING_SETTINGS=" + settings_file_;
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    const char* const program = Program();
    const char* arguments[] = {program, role_.c_str(), "--log-level", log_level, nullptr};
    const int error =
        posix_spawn(&id_, program, actions, nullptr, const_cast<char**>(arguments), environment);
    if (error != 0) throw std::system_error(error, std::generic_category(), program);
  }
  static const char* Program() {
    const char* const other = std::getenv("NODE_PROGRAM");
    return other == nullptr ? VIOLETWING_NODE_PROGRAM : other;
  }
  int AwaitExit() {
    constexpr unsigned kMaxWaitSeconds = 30;
    int status = 0;
    for (unsigned waited_ms = 0; waitpid(id_, &status, WNOHANG) == 0; waited_ms += 10) {
      if (waited_ms >= kMaxWaitSeconds * 1000) return -1;  // the destructor kills it
      usleep(10'000);
    }
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  const std::string role_;
  const std::string settings_file_;
  pid_t id_ = 0;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_NODE_PROCESS_HPP_
