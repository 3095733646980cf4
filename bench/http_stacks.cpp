// Processor time of a whole request on the server's side in the two HTTP servers of this project: the one
// over libevent, which takes control calls, and the one over Boost.Asio, which takes clients' requests. A
// child process answers each request with 800 bytes; the parent asks over kept connections, one request at a
// time on each, and prints what the child spent.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include "control/api/http_server.hpp"
#include "dataplane/ingress/ingress.hpp"

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kAnswerBytes = 800;
constexpr int kConnections = 8;
constexpr violetwing::ConnectionBudget::Limits kBudget{100, 64'000'000};
constexpr int kWarmUp = 2'000;
constexpr const char* kLibeventAddress = "127.0.0.1:18431";
constexpr const char* kAsioAddress = "127.0.0.1:18432";
constexpr const char* kRequest =
    "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Violetwing-Request-Id: 9c41d07be2a35f68\r\n"
    "X-Violetwing-Model: daka510000\r\nX-Violetwing-Token-Count: 1460,80\r\n"
    "X-Violetwing-Deadline-Ms: 5000\r\nContent-Length: 40\r\n\r\n0123456789012345678901234567890123456789";

void ServeByLibevent() {
  event_base* base = event_base_new();
  violetwing::http::Server server(
      base, kBudget,
      [](const std::string&, const std::string&) { return violetwing::http::BodyRule{kAnswerBytes}; },
      [](const violetwing::http::Request&, const violetwing::http::Responder& respond) {
        respond({200, std::string(kAnswerBytes, 'x'), {}});
      });
  if (server.Listen(kLibeventAddress)) std::_Exit(1);
  event_base_dispatch(base);
}

void ServeByAsio() {
  asio::io_context io(1);
  violetwing::Ingress ingress(io, kBudget,
                              [](const violetwing::ClientPtr& client, const violetwing::ClientRequest&) {
                                client->Answer(200, "OK", {}, std::string(kAnswerBytes, 'x'));
                              });
  if (ingress.Listen(kAsioAddress)) std::_Exit(1);
  io.run();
}

Tcp::socket Connect(asio::io_context& io, const std::string& address) {
  const std::size_t colon = address.find(':');
  const Tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                               static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
  for (int attempt = 0; attempt < 200; ++attempt) {  // the child may not listen yet
    Tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(endpoint, error);
    if (!error) return socket;
    usleep(10'000);
  }
  std::fprintf(stderr, "nobody listens at %s\n", address.c_str());
  std::exit(1);
}

// One request and its whole answer.
void Ask(Tcp::socket& socket, std::string& buffer) {
  asio::write(socket, asio::buffer(std::string(kRequest)));
  const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n");
  const std::size_t whole = head + kAnswerBytes;
  if (buffer.size() < whole)
    asio::read(socket, asio::dynamic_buffer(buffer), asio::transfer_at_least(whole - buffer.size()));
  buffer.erase(0, whole);
}

double SpentSeconds(pid_t child) {
  kill(child, SIGKILL);
  int status = 0;
  rusage usage{};
  wait4(child, &status, 0, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Processor time of a child that serves so many requests.
double Measure(const std::function<void()>& serve, const std::string& address, int requests) {
  const pid_t child = fork();
  if (child == 0) {
    serve();
    std::_Exit(0);
  }
  asio::io_context io(1);
  std::vector<Tcp::socket> sockets;
  sockets.reserve(kConnections);
  std::vector<std::string> buffers(kConnections);
  for (int i = 0; i < kConnections; ++i) sockets.push_back(Connect(io, address));
  for (int i = 0; i < requests; ++i) {
    const auto at = static_cast<std::size_t>(i % kConnections);
    Ask(sockets[at], buffers[at]);
  }
  return SpentSeconds(child);
}

void Report(const char* name, const std::function<void()>& serve, const std::string& address, int requests) {
  const double start = Measure(serve, address, kWarmUp);
  const double whole = Measure(serve, address, kWarmUp + requests);
  std::printf("%s: %.1f us of processor time a request, %d requests\n", name,
              (whole - start) / requests * 1e6, requests);
}

}  // namespace

int main(int argc, char** argv) {
  const int requests = argc > 1 ? std::atoi(argv[1]) : 40'000;
  if (requests <= 0) {
    std::fprintf(stderr, "usage: http_stacks [REQUESTS]\n");
    return 2;
  }
  try {
    Report("evhttp", ServeByLibevent, kLibeventAddress, requests);
    Report("beast", ServeByAsio, kAsioAddress, requests);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "http_stacks: %s\n", error.what());
    return 1;
  }
  return 0;
}
