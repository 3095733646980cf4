// The service on sockets: watchers that harm nobody but themselves, and a store that cannot be written.
#include "registry/service.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "common/http_client.hpp"

namespace violetwing::registry {
namespace {

class ServiceTest : public ::testing::Test {
 protected:
  ServiceTest() {
    std::string name = (std::filesystem::temp_directory_path() / "service-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
    ServiceConfig config;
    config.listen = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    config.store = directory + "/store.db";
    config.stall = 2'000'000;
    service = std::make_unique<Service>(io, config);
    service->Start();
  }
  ~ServiceTest() override {
    service.reset();
    std::filesystem::remove_all(directory);
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  // The status of the answer, and its text.
  std::pair<int, std::string> Call(const std::string& method, const std::string& target,
                                   const std::string& body = "") {
    HttpExchange::Call call;
    call.to = service->address();
    call.method = method;
    call.target = target;
    call.body = body;
    call.idle_timeout = std::chrono::seconds(30);
    std::string text;
    int status = -1;
    HttpExchange::Events events;
    events.on_line = [&](const std::string& line) { text += line + "\n"; };
    events.on_end = [&](int ended, const std::string&) { status = ended; };
    HttpExchange::Start(io, call, events);
    EXPECT_TRUE(RunUntil([&] { return status >= 0; }));
    return {status, text};
  }
  int Put(int from, int to, int weight) {
    nlohmann::json operations = nlohmann::json::array();
    for (int i = from; i < to; ++i)
      operations.push_back({{"do", "register"},
                            {"entry",
                             {{"instanceId", "s-" + std::to_string(i)},
                              {"hostPort", "127.0.0.1:9000"},
                              {"zone", "odense"},
                              {"weight", weight}}}});
    return Call("POST", "/v1/writes", nlohmann::json({{"operations", operations}}).dump()).first;
  }
  // A watch that keeps the last generation it was told.
  std::shared_ptr<HttpExchange> Watch(std::int64_t& generation) {
    HttpExchange::Call call;
    call.to = service->address();
    call.target = "/v1/endpoints?stream=1&index=0";
    call.idle_timeout = std::chrono::seconds(30);
    HttpExchange::Events events;
    events.on_line = [&](const std::string& line) {
      generation = nlohmann::json::parse(line).at("generation").get<std::int64_t>();
    };
    events.on_end = [&](int, const std::string&) { generation = -1; };
    return HttpExchange::Start(io, call, events);
  }
  double Figure(const std::string& name) {
    const std::string text = Call("GET", "/metrics").second;
    const std::size_t at = text.find("\nvioletwing_registry_" + name + " ");
    return at == std::string::npos ? -1 : std::atof(text.c_str() + text.find(' ', at + 1));
  }

  asio::io_context io{1};
  std::string directory;
  std::unique_ptr<Service> service;
};

TEST_F(ServiceTest, AWatcherThatNeverReadsIsCutOffAndTheOthersHearEverything) {
  ASSERT_EQ(Put(0, 1000, 1), 200);
  std::int64_t heard = 0;
  const auto reader = Watch(heard);
  Tcp::socket stuck(io, Tcp::v4());
  stuck.set_option(asio::socket_base::receive_buffer_size(2048));
  stuck.connect(service->address());
  asio::write(stuck, asio::buffer(std::string("GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return Figure("watchers") == 2; }));
  int weight = 1;
  // Until the kernel takes no more for it, and then the time that a watcher may take nothing.
  for (int i = 0; i < 500 && Figure("watchers_cut_off_total") == 0; ++i)
    ASSERT_EQ(Put(0, 1000, ++weight), 200);
  EXPECT_EQ(Figure("watchers_cut_off_total"), 1);
  EXPECT_EQ(Figure("watchers"), 1);
  EXPECT_TRUE(RunUntil([&] { return heard == service->core().generation(); }));
  reader->Stop();
}

TEST_F(ServiceTest, AServerThatFlapsIsToldAsItIsAtLast) {
  ASSERT_EQ(Put(0, 2, 1), 200);
  std::int64_t heard = 0;
  const auto reader = Watch(heard);
  const std::string gone = R"({"operations":[{"do":"deregister","id":"s-0"}]})";
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Call("POST", "/v1/writes", gone).first, 200);
    EXPECT_EQ(Put(0, 1, 1), 200);
  }
  EXPECT_TRUE(RunUntil([&] { return heard == service->core().generation(); }));
  EXPECT_EQ(service->core().generation(), kEpochUnit + 101);
  EXPECT_EQ(service->core().Count(0).up, 2U);
  reader->Stop();
}

// A limit on the size of files is a disk that is full, to SQLite.
TEST_F(ServiceTest, WithTheDiskFullWritesAreRefusedAndTheListGoesOn) {
  ASSERT_EQ(Put(0, 10, 1), 200);
  std::int64_t heard = 0;
  const auto reader = Watch(heard);
  const std::int64_t before = service->core().generation();
  ASSERT_TRUE(RunUntil([&] { return heard == before; }));
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  ::getrlimit(RLIMIT_FSIZE, &old);
  rlimit full = old;
  full.rlim_cur = std::filesystem::file_size(directory + "/store.db-wal");
  ::setrlimit(RLIMIT_FSIZE, &full);
  EXPECT_EQ(Put(10, 500, 1), 503);
  EXPECT_EQ(service->core().generation(), before);
  EXPECT_EQ(Call("GET", "/v1/endpoints").first, 200);
  ::setrlimit(RLIMIT_FSIZE, &old);
  EXPECT_EQ(Put(10, 500, 1), 200);
  EXPECT_EQ(service->core().generation(), before + 1);
  EXPECT_TRUE(RunUntil([&] { return heard == before + 1; }));
  reader->Stop();
  service.reset();
  EXPECT_EQ(Store::Verify(directory + "/store.db").entries.size(), 500U);
}

}  // namespace
}  // namespace violetwing::registry
