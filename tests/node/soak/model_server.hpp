// A stand-in for a model server: registers itself, takes placement orders, and streams events for as long as
// each request asks it to.
#ifndef VIOLETWING_TESTS_NODE_SOAK_MODEL_SERVER_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_MODEL_SERVER_HPP_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/http_client.hpp"
#include "testing/unusual_responses.hpp"

namespace violetwing::testing::soak {

using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;

/// Header in which a client tells for how many ms the server works on its request.
inline constexpr const char* kRunMsHeader = "X-Soak-Run-Ms";

/// The times of one request at a server.
struct Run {
  Clock::time_point began;
  Clock::time_point ended = Clock::time_point::max();  ///< max while the server is at work
};

/// Part of each message of a server that is no HTTP response.
inline constexpr const char* kInvalidMarker = "from a server in trouble";

/// What all servers of a soak have run, by request id. A request that ran twice keeps its last run.
using Runs = std::map<std::string, Run>;

/// Must be used on the thread of `io` only.
class ModelServer {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string address;                ///< host:port
    std::vector<std::string> controls;  ///< addresses that take heartbeats
    std::set<std::string> models;       ///< loaded at the start
    std::chrono::milliseconds load_time{0};
    /// Of its answers to clients' requests, this share is no HTTP response.
    double invalid_share = 0;
  };

  ModelServer(boost::asio::io_context& io, Settings settings, Runs& runs)
      : io_(io),
        settings_(std::move(settings)),
        runs_(runs),
        acceptor_(io, *ParseEndpoint(settings_.address)),
        heartbeat_timer_(io),
        load_timer_(io) {
    Accept();
    SendHeartbeat();
  }

 private:
  class Session;

  void Accept();

  nlohmann::json HeldModels() const {
    nlohmann::json held = nlohmann::json::array();
    for (const std::string& model : settings_.models)
      held.push_back({{"name", model}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    return held;
  }

  void SendHeartbeat() {
    HttpExchange::Call call;
    call.to = *ParseEndpoint(settings_.controls[next_control_]);
    call.method = "PUT";
    call.target = "/api/instances/" + settings_.id;
    call.body = nlohmann::json{{"backend", settings_.service},
                               {"address", settings_.address},
                               {"zone", "here"},
                               {"capacity", 64},
                               {"phase", "ready"},
                               {"sequence", ++heartbeats_},
                               {"phase_name", "all"},
                               {"models", HeldModels()}}
                    .dump();
    HttpExchange::Events events;
    events.on_end = [this](int status, const std::string&) {
      constexpr std::chrono::milliseconds kInterval{500};
      constexpr std::chrono::milliseconds kRetryDelay{50};
      if (status != 200) next_control_ = (next_control_ + 1) % settings_.controls.size();
      heartbeat_timer_.expires_after(status == 200 ? kInterval : kRetryDelay);
      heartbeat_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) SendHeartbeat();
      });
    };
    HttpExchange::Start(io_, std::move(call), std::move(events));
  }

  bool DrawsInvalidResponse() { return std::bernoulli_distribution(settings_.invalid_share)(random_); }

  std::string DrawInvalidResponse() {
    const std::vector<std::string> all = InvalidResponses(kInvalidMarker);
    return all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(random_)];
  }

  // Returns the HTTP status for an order.
  unsigned OnOrder(const nlohmann::json& order) {
    const std::string model = order.value("model", "");
    const bool load = order.value("operation", "") == "load_model";
    if (!loading_.empty()) return 409;
    if ((settings_.models.count(model) > 0) == load) return 200;
    ++revision_;
    if (!load) {
      settings_.models.erase(model);
      return 202;
    }
    loading_ = model;
    load_timer_.expires_after(settings_.load_time);
    load_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) settings_.models.insert(std::exchange(loading_, {}));
    });
    return 202;
  }

  nlohmann::json Report() const {
    return {{"phase_name", "all"},
            {"models", HeldModels()},
            {"utilization", !loading_.empty()},
            {"sequence", revision_},
            {"queued", 0},
            {"active", 0},
            {"kv_cache_used", 0},
            {"kv_cache_total", 100000},
            {"served_models", 0}};
  }

  boost::asio::io_context& io_;
  Settings settings_;
  Runs& runs_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer load_timer_;
  std::size_t next_control_ = 0;
  std::int64_t heartbeats_ = 0;
  std::int64_t revision_ = 0;
  std::string loading_;
  std::mt19937_64 random_{std::hash<std::string>()(settings_.id)};
};

/// One connection to a model server.
class ModelServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ModelServer& server, Tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {
    boost::system::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
  }

  void Read() {
    request_ = {};
    boost::beast::http::async_read(socket_, buffer_, request_,
                                   [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                     if (!error) self->OnRequest();
                                   });
  }

 private:
  using ErrorCode = boost::system::error_code;
  static constexpr std::chrono::milliseconds kEventInterval{50};

  void OnRequest() {
    if (request_.target() == "/api/report") return Answer(200, server_.Report().dump());
    if (request_.target() == "/api/order")
      return Answer(server_.OnOrder(nlohmann::json::parse(request_.body(), nullptr, false)), "");
    const std::string model(request_["X-Violetwing-Model"]);
    if (!model.empty() && server_.settings_.models.count(model) == 0)
      return Answer(421, "", "X-Violetwing-Not-Executed: 1\r\n");
    id_ = std::string(request_["X-Violetwing-Request-Id"]);
    const Clock::time_point now = Clock::now();
    if (server_.DrawsInvalidResponse()) {
      server_.runs_[id_] = Run{now, now};
      return Write(server_.DrawInvalidResponse(), [this] { Read(); });
    }
    server_.runs_[id_] = Run{now};
    run_end_ = now + std::chrono::milliseconds(std::atoi(std::string(request_[kRunMsHeader]).c_str()));
    Write("HTTP/1.1 200 OK\r\nX-Violetwing-Request-Id: " + id_ + "\r\nX-Violetwing-Response-Signature: s." +
              id_ + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
          [this] { AwaitEvent(); });
  }

  void AwaitEvent() {
    timer_.expires_after(kEventInterval);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (!error) self->SendEvent();
    });
  }

  void SendEvent() {
    const std::string event = "data: " + id_ + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (Clock::now() < run_end_) return Write(size + event + "\r\n", [this] { AwaitEvent(); });
    server_.runs_[id_].ended = Clock::now();
    Write("0\r\n\r\n", [this] { Read(); });
  }

  void Answer(unsigned status, const std::string& body, const std::string& fields = "") {
    Write("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
              "X-Violetwing-Request-Id: " + std::string(request_["X-Violetwing-Request-Id"]) +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          [this] { Read(); });
  }

  // Calls `next` once `text` is written; the session ends if the peer has closed the connection.
  template <class Next>
  void Write(std::string text, Next next) {
    output_ = std::move(text);
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this(), next](ErrorCode error, std::size_t) {
                               if (!error) return next();
                               self->server_.runs_[self->id_].ended = Clock::now();
                             });
  }

  ModelServer& server_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::string id_;
  std::string output_;
  Clock::time_point run_end_;
};

inline void ModelServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
    if (error) return;
    std::make_shared<Session>(*this, std::move(socket))->Read();
    Accept();
  });
}

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_MODEL_SERVER_HPP_
