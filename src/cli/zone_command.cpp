#include "cli/zone_command.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "cli/http_call.hpp"

namespace violetwing::cli {
namespace {

using Json = nlohmann::ordered_json;

struct Options {
  std::vector<std::string> at;
  std::string zone;
  double over_s = 0;
  bool json = false;
};

// One that does not answer is a no, and the others are told all the same.
HttpAnswer CallOne(const std::string& at, const std::string& method, const std::string& target,
                   const std::string& body = "") {
  try {
    return Call(at, method, target, body);
  } catch (const Unreachable& error) {
    return {0, error.what()};
  }
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\n')); }

int Order(const Options& options, const char* target) {
  const std::string body = Json({{"zone", options.zone}, {"over_s", options.over_s}}).dump();
  Json all = Json::array();
  int status = 0;
  for (const std::string& at : options.at) {
    const HttpAnswer answer = CallOne(at, "POST", target, body);
    if (answer.status != 200) status = answer.status == 400 ? 2 : std::max(status, 1);
    all.push_back({{"at", at}, {"status", answer.status}, {"said", FirstLine(answer.body)}});
    if (!options.json) std::printf("%-22s %s\n", at.c_str(), FirstLine(answer.body).c_str());
  }
  if (options.json) std::printf("%s\n", all.dump(1).c_str());
  return status;
}

// Zones that are not wholly open, from the sidecar's figures.
Json ZonesOf(const std::string& figures) {
  static const std::string kBegin = "sidecar.zone.";
  static const std::string kEnd = ".open=";
  Json out = Json::object();
  std::istringstream lines(figures);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.rfind(kEnd);
    if (line.rfind(kBegin, 0) != 0 || end == std::string::npos) continue;
    out[line.substr(kBegin.size(), end - kBegin.size())] =
        std::strtod(line.c_str() + end + kEnd.size(), nullptr);
  }
  return out;
}

int Status(const Options& options) {
  Json all = Json::array();
  int status = 0;
  for (const std::string& at : options.at) {
    const HttpAnswer answer = CallOne(at, "GET", "/metrics");
    const Json zones = ZonesOf(answer.status == 200 ? answer.body : "");
    if (answer.status != 200) status = 1;
    all.push_back({{"at", at}, {"answers", answer.status == 200}, {"not_wholly_open", zones}});
    if (options.json) continue;
    if (answer.status != 200) {
      std::printf("%-22s %s\n", at.c_str(), FirstLine(answer.body).c_str());
    } else if (zones.empty()) {
      std::printf("%-22s all zones are open\n", at.c_str());
    }
    for (const auto& [zone, open] : zones.items())
      std::printf("%-22s %-12s %3.0f%% open\n", at.c_str(), zone.c_str(), 100 * open.get<double>());
  }
  if (options.json) std::printf("%s\n", all.dump(1).c_str());
  return status;
}

CLI::App* Calling(CLI::App* zone, const char* name, const char* text,
                  const std::shared_ptr<Options>& options) {
  CLI::App* const command = zone->add_subcommand(name, text);
  command->add_option("--at", options->at, "operators' addresses of sidecars")->required();
  command->add_flag("--json", options->json, "as JSON");
  return command;
}

}  // namespace

void AddZone(CLI::App& app, int& status) {
  CLI::App* const zone = app.add_subcommand("zone", "Empty a zone by hand, and return to it");
  zone->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  CLI::App* const drain = Calling(zone, "drain", "Ever less to a zone, then nothing new", options);
  CLI::App* const back = Calling(zone, "return", "Ever more to it, in steps", options);
  for (const auto& [command, target] : {std::pair{drain, "/zones/drain"}, {back, "/zones/return"}}) {
    command->add_option("ZONE", options->zone, "its name")->required();
    command->add_option("--over-s", options->over_s, "how long it takes; 0 = at once")
        ->check(CLI::Range(0.0, 86400.0));
    command->callback([options, &status, target = target] { status = Order(*options, target); });
  }
  Calling(zone, "status", "How far zones are open", options)->callback([options, &status] {
    status = Status(*options);
  });
}

}  // namespace violetwing::cli
