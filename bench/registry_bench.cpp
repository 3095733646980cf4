// What the registry costs, measured at one real process on one core: watchers held, time from a change to the
// last watcher, memory a watcher, bytes a change, durable writes a second. Beside each stands its physical
// floor. Usage: registry_bench VIOLETWING
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "lab/process/shell.hpp"
#include "registry/json.hpp"

namespace violetwing {
namespace {

using lab::asio::ip::tcp;
namespace asio = lab::asio;
namespace http = lab::http;
using lab::ErrorCode;
using Steady = std::chrono::steady_clock;

double Since(Steady::time_point begin) {
  return std::chrono::duration<double, std::milli>(Steady::now() - begin).count();
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

class Watcher : public std::enable_shared_from_this<Watcher> {
 public:
  Watcher(asio::io_context& io, std::int64_t& slowest_left) : socket_(io), left_(slowest_left) {}

  // A watch from `index` on; what is left is counted down with the first line of that generation or a later
  // one.
  void Start(const tcp::endpoint& at, std::int64_t index = 0) {
    if (index > 0) expected_ = index;
    socket_.async_connect(at, [self = shared_from_this(), index](ErrorCode error) {
      if (error) return;
      self->request_ =
          "GET /v1/endpoints?stream=1&index=" + std::to_string(index) + " HTTP/1.1\r\nHost: r\r\n\r\n";
      asio::async_write(self->socket_, asio::buffer(self->request_),
                        [self](ErrorCode, std::size_t) { self->Read(); });
    });
  }
  // Counts down what is left once a line of this generation or a later one has come.
  void Expect(std::int64_t generation) { expected_ = generation; }
  std::size_t bytes() const { return bytes_; }
  void NeverRead() {
    reads_ = false;
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(2048));
  }
  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
  }

 private:
  void Read() {
    if (!reads_) return;
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode error, std::size_t size) {
                              if (error) return;
                              self->bytes_ += size;
                              self->line_.append(self->input_.data(), size);
                              self->Take();
                              self->Read();
                            });
  }
  void Take() {
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n')) {
      const std::size_t at = line_.find("{\"generation\":");
      if (at != std::string::npos && at < end && expected_ > 0 &&
          std::atoll(line_.c_str() + at + 14) >= expected_) {
        expected_ = 0;
        --left_;
      }
      line_.erase(0, end + 1);
    }
  }

  tcp::socket socket_;
  std::int64_t& left_;
  std::string request_;
  std::array<char, 16384> input_{};
  std::string line_;
  std::size_t bytes_ = 0;
  bool reads_ = true;
  std::int64_t expected_ = 1;  // the first list
};

class Bench {
 public:
  Bench(std::string program, std::string core) : program_(std::move(program)), core_(std::move(core)) {
    std::string name = "/tmp/registry-bench-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error(name + ": cannot be made");
    directory_ = name;
  }
  ~Bench() {
    const std::string remove = "rm -rf '" + directory_ + "'";
    if (std::system(remove.c_str()) != 0) std::fprintf(stderr, "%s: left there\n", directory_.c_str());
  }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  void Run() {
    Floor();
    Start();
    Writes();
    std::printf(
        "\n| entries | watchers | change to last watcher ms, median / p99 | bytes a change and watcher | "
        "memory a watcher kB |\n");
    std::printf("| --- | --- | --- | --- | --- |\n");
    for (const int entries : {100, 1000, 10'000}) {
      Fill(entries);
      for (const int watchers : {100, 1000, 5000})
        if (entries == 100 || watchers == 100 || (entries == 10'000 && watchers == 1000))
          Watch(entries, watchers);
    }
    std::printf(
        "\n| entries | come back at once | with | until the last is told, ms | memory grew by MB |\n");
    std::printf("| --- | --- | --- | --- | --- |\n");
    for (const bool whole : {false, true})
      for (const int entries : {100, 1000}) ComeBack(entries, 5000, whole);
    std::printf("\n| entries | watchers | change to last watcher ms, median / p99 | memory MB |\n");
    std::printf("| --- | --- | --- | --- |\n");
    for (const int stuck : {0, 20}) Stuck(1000, 500, stuck);
    server_->Signal(SIGTERM);
  }

 private:
  // One durable append, as any store needs.
  void Floor() const {
    const std::string file = directory_ + "/floor";
    const int descriptor = ::open(file.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    std::vector<double> took;
    std::array<char, 512> bytes{};
    for (int i = 0; i < 300; ++i) {
      const auto begin = Steady::now();
      if (::write(descriptor, bytes.data(), bytes.size()) < 0 || ::fdatasync(descriptor) != 0) break;
      took.push_back(Since(begin));
    }
    ::close(descriptor);
    std::printf("floor: one append with fdatasync %.3f ms (median), %.3f ms (p99)\n", Quantile(took, 0.5),
                Quantile(took, 0.99));
  }

  void Start() {
    std::ofstream(directory_ + "/registry.toml")
        << "listen = \"127.0.0.1:0\"\nstore = \"" << directory_ << "/store.db\"\n";
    lab::Child::Start start;
    start.arguments = {"/usr/bin/taskset", "-c",    core_,      program_,
                       "registry",         "serve", "--config", directory_ + "/registry.toml"};
    lab::Child::Events events;
    events.on_line = [this](const std::string& line) {
      if (line.rfind("serving at 127.0.0.1:", 0) == 0)
        at_ = tcp::endpoint(asio::ip::address_v4::loopback(),
                            static_cast<unsigned short>(std::atoi(line.c_str() + 21)));
    };
    server_ = children_.Start(start, std::move(events));
    Until([this] { return at_.port() != 0; });
    caller_.connect(at_);
  }

  void Until(const std::function<bool()>& done) {
    const auto end = Steady::now() + std::chrono::seconds(60);
    while (!done()) {
      if (Steady::now() > end) throw std::runtime_error("the registry did not get there in a minute");
      io_.run_one_for(std::chrono::milliseconds(20));
      if (io_.stopped()) io_.restart();
    }
  }

  static nlohmann::json Register(int i, int weight) {
    return {{"do", "register"},
            {"entry",
             {{"instanceId", "s-" + std::to_string(i)},
              {"hostPort", "127.0.0.1:9000"},
              {"zone", "odense"},
              {"machineType", "ny-4"},
              {"weight", weight},
              {"version", "v1"}}}};
  }

  // Blocks until the write is answered; its generation.
  std::int64_t Write(const nlohmann::json& operations) {
    http::request<http::string_body> request(http::verb::post, "/v1/writes", 11);
    request.body() = nlohmann::json({{"operations", operations}}).dump();
    request.prepare_payload();
    http::write(caller_, request);
    http::response<http::string_body> answer;
    http::read(caller_, buffer_, answer);
    if (answer.result() != http::status::ok) throw std::runtime_error("refused: " + answer.body());
    return nlohmann::json::parse(answer.body())["generation"].get<std::int64_t>();
  }

  std::string Get(const std::string& target) {
    http::request<http::empty_body> request(http::verb::get, target, 11);
    http::write(caller_, request);
    http::response_parser<http::string_body> answer;
    answer.body_limit(std::uint64_t{64} * 1024 * 1024);
    http::read(caller_, buffer_, answer);
    return answer.get().body();
  }

  void Writes() {
    std::printf("\n| durable writes | entries a second | ms a version |\n| --- | --- | --- |\n");
    for (const int batch : {1, 10, 100}) {
      const auto begin = Steady::now();
      int versions = 0;
      while (Since(begin) < 3000) {
        nlohmann::json operations = nlohmann::json::array();
        for (int i = 0; i < batch; ++i) operations.push_back(Register(i, ++weight_));
        Write(operations);
        ++versions;
      }
      const double took = Since(begin);
      std::printf("| batches of %d | %.0f | %.2f |\n", batch, versions * batch / took * 1e3, took / versions);
    }
  }

  void Fill(int entries) {
    for (int from = 0; from < entries; from += 1000) {
      nlohmann::json operations = nlohmann::json::array();
      for (int i = from; i < std::min(entries, from + 1000); ++i)
        operations.push_back(Register(i, ++weight_));
      generation_ = Write(operations);
    }
  }

  void Watch(int entries, int count) {
    const double before = Memory();
    std::vector<std::shared_ptr<Watcher>> watchers;
    std::int64_t left = count;
    for (int i = 0; i < count; ++i) {
      watchers.push_back(std::make_shared<Watcher>(io_, left));
      watchers.back()->Start(at_);
      if (i % 50 == 49) io_.poll();
    }
    Until([&] { return left == 0; });
    const double after = Memory();
    std::vector<double> took;
    std::size_t bytes = 0;
    for (int change = 0; change < 20; ++change) {
      const auto due = Steady::now() + std::chrono::seconds(1);
      Until([&] { return Steady::now() >= due; });
      left = count;
      std::size_t got = 0;
      for (const auto& watcher : watchers) got += watcher->bytes();
      const auto begin = Steady::now();
      // Nothing else changes the list, so that the generation to come is known.
      for (const auto& watcher : watchers) watcher->Expect(generation_ + 1);
      generation_ = Write(nlohmann::json::array({Register(0, ++weight_)}));
      Until([&] { return left == 0; });
      took.push_back(Since(begin));
      for (const auto& watcher : watchers) bytes += watcher->bytes();
      bytes -= got;
    }
    std::printf("| %d | %d | %.2f / %.2f | %.0f | %.1f |\n", entries, count, Quantile(took, 0.5),
                Quantile(took, 0.99), static_cast<double>(bytes) / 20 / count,
                (after - before) * 1e3 / count);
    std::fflush(stdout);
    Leave(watchers);
  }

  double Memory() const { return lab::UsageOf(server_->pid()).memory_mb; }

  // The list without what was filled in before.
  void Empty() {
    const auto list = nlohmann::json::parse(Get("/v1/endpoints"));
    nlohmann::json operations = nlohmann::json::array();
    for (const auto& one : list.at("instances")) {
      operations.push_back({{"do", "deregister"}, {"id", one.at("instanceId")}});
      if (operations.size() < 1000) continue;
      Write(operations);
      operations.clear();
    }
    if (!operations.empty()) Write(operations);
  }

  // As after a registry's restart: all connect in the same instant, with the list of before or with none.
  void ComeBack(int entries, int count, bool whole) {
    Empty();
    Fill(entries);
    const double before = Memory();
    std::vector<std::shared_ptr<Watcher>> watchers;
    std::int64_t left = count;
    const auto begin = Steady::now();
    for (int i = 0; i < count; ++i) {
      watchers.push_back(std::make_shared<Watcher>(io_, left));
      watchers.back()->Start(at_, whole ? 0 : generation_);
    }
    Until([&] { return left == 0; });
    std::printf("| %d | %d | %s | %.0f | %.1f |\n", entries, count, whole ? "nothing" : "the list of before",
                Since(begin), Memory() - before);
    std::fflush(stdout);
    Leave(watchers);
  }

  // Changes of the whole list, as fast as they are taken, with watchers among them that never read.
  void Stuck(int entries, int count, int stuck) {
    Empty();
    Fill(entries);
    std::vector<std::shared_ptr<Watcher>> watchers;
    std::int64_t left = count;
    std::int64_t nobody = 0;
    for (int i = 0; i < count + stuck; ++i) {
      watchers.push_back(std::make_shared<Watcher>(io_, i < count ? left : nobody));
      if (i >= count) watchers.back()->NeverRead();
      watchers.back()->Start(at_);
    }
    Until([&] { return left == 0; });
    std::vector<double> took;
    double memory = 0;
    for (int change = 0; change < 100; ++change) {
      left = count;
      const auto begin = Steady::now();
      for (int i = 0; i < count; ++i) watchers[static_cast<std::size_t>(i)]->Expect(generation_ + 1);
      Fill(entries);
      Until([&] { return left == 0; });
      took.push_back(Since(begin));
      memory = std::max(memory, Memory());
    }
    std::printf("| %d | %d, and %d that never read | %.1f / %.1f | %.1f |\n", entries, count, stuck,
                Quantile(took, 0.5), Quantile(took, 0.99), memory);
    std::fflush(stdout);
    Leave(watchers);
  }

  void Leave(const std::vector<std::shared_ptr<Watcher>>& watchers) {
    for (const auto& watcher : watchers) watcher->Close();
    Until([&] { return lab::UsageOf(server_->pid()).descriptors < 40; });
  }

  std::string program_;
  std::string core_;
  std::string directory_;
  asio::io_context io_{1};
  lab::Children children_{io_};
  std::shared_ptr<lab::Child> server_;
  tcp::endpoint at_;
  tcp::socket caller_{io_};
  lab::beast::flat_buffer buffer_;
  int weight_ = 0;
  std::int64_t generation_ = 0;
};

}  // namespace
}  // namespace violetwing

int main(int argc, char** argv) {
  if (argc != 2 && argc != 3) {
    std::fprintf(stderr, "usage: registry_bench VIOLETWING [CORE]\n");
    return 2;
  }
  try {
    violetwing::Bench(argv[1], argc == 3 ? argv[2] : "0").Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "registry_bench: %s\n", error.what());
    return 1;
  }
  return 0;
}
