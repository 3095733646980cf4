#include "lab/process/shell.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

extern char** environ;

namespace violetwing::lab {
namespace {

constexpr std::size_t kMostLine = std::size_t{64} * 1024;

// Both ends are closed at exec; the child puts one in place of its output.
std::array<int, 2> Pipe() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
  return ends;
}

std::vector<std::string> Environment(const std::map<std::string, std::string>& added) {
  std::vector<std::string> out;
  for (char** each = environ; *each != nullptr; ++each) {
    const std::string text = *each;
    if (added.count(text.substr(0, text.find('='))) == 0) out.push_back(text);
  }
  for (const auto& [name, value] : added) {
    out.push_back(name);
    out.back().append("=").append(value);
  }
  return out;
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> out;
  out.reserve(texts.size() + 1);
  for (std::string& text : texts) out.push_back(text.data());
  out.push_back(nullptr);
  return out;
}

std::string How(int status) {
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "status " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

Usage UsageOf(pid_t pid) {
  Usage out;
  const std::string at = "/proc/" + std::to_string(pid) + "/";
  std::ifstream stat(at + "stat");
  std::string text;
  if (!std::getline(stat, text)) return out;
  // The name, in brackets, may hold anything; user and system time are fields 14 and 15.
  std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  out.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm(at + "statm");
  double size = 0;
  double resident = 0;
  statm >> size >> resident;
  out.memory_mb = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  if (DIR* const directory = ::opendir((at + "fd").c_str())) {
    while (const dirent* const entry = ::readdir(directory))
      out.descriptors += entry->d_name[0] != '.' ? 1 : 0;
    ::closedir(directory);
  }
  return out;
}

EndSignals::EndSignals(asio::io_context& io, std::function<void()> on_signal)
    : signals_(io, SIGINT, SIGTERM) {
  signals_.async_wait([tell = std::move(on_signal)](ErrorCode error, int) {
    if (!error) tell();
  });
}

void Child::Signal(int signal) const {
  if (running_) ::kill(pid_, signal);
}

void Child::LimitDescriptors(int most) const {
  if (!running_) return;
  rlimit limit{};
  ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
  limit.rlim_cur = most > 0 ? static_cast<rlim_t>(most) : limit.rlim_max;
  ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

void Child::ReadOutput() {
  output_.async_read_some(asio::buffer(input_),
                          [self = shared_from_this()](ErrorCode error, std::size_t size) {
                            self->line_.append(self->input_.data(), size);
                            self->TakeLines(static_cast<bool>(error));
                            if (!error) return self->ReadOutput();
                            self->output_ended_ = true;
                            self->Finish();
                          });
}

void Child::TakeLines(bool last) {
  for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n')) {
    if (events_.on_line) events_.on_line(line_.substr(0, end));
    line_.erase(0, end + 1);
  }
  if (!last && line_.size() < kMostLine) return;
  if (!line_.empty() && events_.on_line) events_.on_line(line_);
  line_.clear();
}

void Child::OnExit(int status) {
  running_ = false;
  exited_ = true;
  status_ = status;
  Finish();
}

// Its last words come before its end.
void Child::Finish() {
  if (!exited_ || !output_ended_ || !events_.on_end) return;
  const auto tell = std::exchange(events_.on_end, {});
  tell(How(status_), WIFEXITED(status_) && WEXITSTATUS(status_) == 0);
}

Children::Children(asio::io_context& io) : io_(io), signals_(io, SIGCHLD) { Watch(); }

Children::~Children() {
  for (const auto& child : children_) {
    child->events_ = {};
    if (!child->running_) continue;
    ::kill(child->pid_, SIGKILL);
    ::waitpid(child->pid_, nullptr, 0);
    child->running_ = false;
  }
}

void Children::Watch() {
  signals_.async_wait([this](ErrorCode error, int) {
    if (error) return;
    Watch();
    Reap();
  });
}

void Children::Reap() {
  for (const auto& child : std::vector(children_)) {
    int status = 0;
    if (child->running_ && ::waitpid(child->pid_, &status, WNOHANG) == child->pid_) child->OnExit(status);
  }
  std::erase_if(children_, [](const auto& child) { return !child->running_; });
}

std::shared_ptr<Child> Children::Start(const Child::Start& start, Child::Events events) {
  std::vector<std::string> arguments = start.arguments;
  std::vector<std::string> environment = Environment(start.environment);
  std::vector<char*> argv = Pointers(arguments);
  std::vector<char*> envp = Pointers(environment);
  const std::array<int, 2> output = Pipe();
  const std::array<int, 2> failure = Pipe();  // the number of what went wrong, or its end as exec succeeds
  const pid_t lab = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Only calls that are safe after a fork from here on.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != lab) ::_exit(127);  // it ended before the line above
    ::signal(SIGPIPE, SIG_DFL);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(output[1], STDOUT_FILENO);
    ::dup2(output[1], STDERR_FILENO);
    // A listener that a child held too would go on listening when the lab closes it (Asio sets no
    // close-on-exec).
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    if (start.passed_descriptor >= 0) ::fcntl(start.passed_descriptor, F_SETFD, 0);
    ::execve(argv[0], argv.data(), envp.data());
    const int error = errno;
    static_cast<void>(!::write(failure[1], &error, sizeof error));
    ::_exit(127);
  }
  ::close(output[1]);
  ::close(failure[1]);
  int error = pid < 0 ? errno : 0;
  if (pid > 0 && ::read(failure[0], &error, sizeof error) != sizeof error) error = 0;
  ::close(failure[0]);
  if (error != 0) {
    ::close(output[0]);
    if (pid > 0) ::waitpid(pid, nullptr, 0);
    throw std::system_error(error, std::generic_category(), start.arguments[0]);
  }
  std::shared_ptr<Child> child(new Child(io_, std::move(events)));
  child->pid_ = pid;
  child->running_ = true;
  child->output_.assign(output[0]);
  child->ReadOutput();
  children_.push_back(child);
  return child;
}

}  // namespace violetwing::lab
