#include "cli/lab_command.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "lab/report.hpp"
#include "lab/run.hpp"
#include "lab/timeliness.hpp"

namespace violetwing::cli {
namespace {

namespace fs = std::filesystem;

// How long a replay waits for a machine that gives the lab its time; then it is played all the same.
constexpr lab::Micros kMostWaitForMachine = 60'000'000;

struct RunCall {
  std::string file;
  std::uint64_t seed = 1;
  std::string json;
  std::string report;
  std::string keep;
  std::string sidecar;
  bool scripted = false;
  int replays = 0;
  int late_ms = static_cast<int>(lab::kLate / 1000);
};

std::string Self() {
  std::error_code error;
  return fs::read_symlink("/proc/self/exe", error).string();
}

// The sidecar that was built beside this program.
std::string UsualSidecar() { return (fs::path(Self()).parent_path() / "violetwing-sidecar").string(); }

void Write(const std::string& file, const std::string& text) {
  std::ofstream out(file, std::ios::binary);
  if (!(out << text << std::flush)) throw std::runtime_error(file + ": cannot be written");
}

std::string Read(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(file + ": cannot be read");
  return text.str();
}

nlohmann::ordered_json ReadReport(const std::string& file) {
  auto json = nlohmann::ordered_json::parse(Read(file), nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) throw std::runtime_error(file + ": no JSON");
  return json;
}

lab::Scenario Load(const std::string& file) {
  lab::Scenario scenario = lab::LoadScenario(file);
  lab::CheckClaims(scenario);
  return scenario;
}

int Check(const std::vector<std::string>& files) {
  for (const std::string& file : files) {
    const lab::Scenario scenario = Load(file);
    std::printf("%s: %s, %zu faults, %zu claims\n", file.c_str(), scenario.name.c_str(),
                scenario.faults.size(), scenario.claims.size());
  }
  return 0;
}

nlohmann::ordered_json PlayOnce(const RunCall& call, const lab::Scenario& scenario) {
  const lab::Plan plan = lab::Draw(scenario, call.seed);
  lab::RunOptions options;
  options.sidecar = call.sidecar.empty() ? UsualSidecar() : call.sidecar;
  options.keep = call.keep;
  options.program = Self();
  options.scripted = call.scripted;
  if (::access(options.sidecar.c_str(), X_OK) != 0)
    throw std::runtime_error(options.sidecar + ": no sidecar that can be started (--sidecar)");
  const bool terminal = ::isatty(STDERR_FILENO) != 0;
  if (terminal)
    options.progress = [](const std::string& line) {
      std::fprintf(stderr, "\r\033[K%.*s", 110, line.c_str());
    };
  const lab::Records records = lab::Play(scenario, plan, options);
  if (terminal) std::fprintf(stderr, "\r\033[K");
  const lab::Verdict verdict = lab::Judge(scenario, plan, records, lab::Micros{1000} * call.late_ms);
  if (!call.keep.empty()) Write(call.keep + "/plan.jsonl", lab::PlanText(scenario, plan));
  return lab::ReportJson(scenario, plan, records, verdict, options.sidecar);
}

int Run(const RunCall& call) {
  const lab::Scenario scenario = Load(call.file);
  nlohmann::ordered_json report;
  try {
    report = PlayOnce(call, scenario);
    // A run in which the machine gave the lab no time says nothing of the sidecars.
    for (int i = 0; i < call.replays && !report["judged"].get<bool>(); ++i) {
      std::fprintf(stderr, "violetwing: the lab ran late; played again\n");
      if (!lab::AwaitTimeliness(lab::SleepOfThread, lab::Micros{1000} * call.late_ms, kMostWaitForMachine))
        std::fprintf(stderr, "violetwing: the machine is still busy\n");
      report = PlayOnce(call, scenario);
    }
  } catch (const lab::Interrupted&) {
    std::fprintf(stderr, "violetwing: interrupted; nothing is left running\n");
    return 1;
  }
  std::printf("%s", lab::Summary(report).c_str());
  if (!call.json.empty()) Write(call.json, report.dump(1) + "\n");
  if (!call.report.empty()) Write(call.report, lab::Html(report));
  return report["held"].get<bool>() ? 0 : 1;
}

int List(const std::string& directory, bool json) {
  std::vector<fs::path> files;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(directory, error))
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  if (error) throw std::runtime_error(directory + ": " + error.message());
  std::sort(files.begin(), files.end());
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const fs::path& file : files) {
    const lab::Scenario scenario = lab::LoadScenario(file.string());
    all.push_back({{"file", file.string()}, {"name", scenario.name}, {"description", scenario.description}});
    if (!json) std::printf("%-20s %s\n", scenario.name.c_str(), scenario.description.c_str());
  }
  if (json) std::printf("%s\n", all.dump(1).c_str());
  return files.empty() ? 1 : 0;
}

int Compare(const std::vector<std::string>& files, bool json) {
  const auto compared = lab::Compare(ReadReport(files[0]), ReadReport(files[1]));
  std::printf("%s", json ? (compared.dump(1) + "\n").c_str() : lab::CompareTable(compared).c_str());
  return 0;
}

int Trace(const std::string& directory, const std::string& id) {
  std::istringstream lines(Read(directory + "/log.jsonl"));
  bool any = false;
  for (std::string line; std::getline(lines, line);) {
    const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (json.is_discarded() || json.value("id", std::string()) != id) continue;
    std::printf("%s\n", line.c_str());
    any = true;
  }
  return any ? 0 : 1;
}

}  // namespace

void AddLab(CLI::App& app, int& status) {
  CLI::App* const lab =
      app.add_subcommand("lab", "Play a whole fleet as real processes, with faults, and judge it");
  lab->require_subcommand(1);

  auto files = std::make_shared<std::vector<std::string>>();
  CLI::App* const check = lab->add_subcommand("check", "Whether scenario files make sense");
  check->add_option("FILE", *files, "scenario files")->required();
  check->callback([files, &status] { status = Check(*files); });

  auto call = std::make_shared<RunCall>();
  CLI::App* const run =
      lab->add_subcommand("run", "Play a scenario; exit status 1 if a claim fails or a rule is broken");
  run->add_option("FILE", call->file, "scenario file")->required();
  run->add_option("--seed", call->seed, "of every draw")->capture_default_str();
  run->add_option("--json", call->json, "write the report there, as JSON");
  run->add_option("--report", call->report, "write the report there, as one HTML file");
  run->add_option("--keep", call->keep, "keep logs, plan and configurations in this directory");
  run->add_option("--sidecar", call->sidecar, "the program to play; the one built beside this if not given");
  run->add_flag("--scripted", call->scripted,
                "the scripted discovery in place of the scenario's registries, for comparison");
  run->add_option(
         "--replays", call->replays,
         "play again up to so often while the lab itself ran late, each time once the machine is timely, "
         "or after 60 s")
      ->check(CLI::Range(0, 100));
  run->add_option("--late-ms", call->late_ms,
                  "judge a run if the lab was no later than this at p99; the rules themselves leave 50")
      ->capture_default_str()
      ->check(CLI::Range(1, 50));
  run->callback([call, &status] { status = Run(*call); });

  auto directory = std::make_shared<std::string>("scenarios");
  CLI::App* const list = lab->add_subcommand("list", "The scenarios of a directory");
  list->add_option("DIR", *directory, "directory of scenario files")->capture_default_str();
  auto json = std::make_shared<bool>(false);
  list->add_flag("--json", *json, "as JSON");
  list->callback([directory, json, &status] { status = List(*directory, *json); });

  auto pair = std::make_shared<std::vector<std::string>>();
  CLI::App* const compare = lab->add_subcommand("compare", "Two reports side by side");
  compare->add_option("REPORT", *pair, "two files written by --json")->required()->expected(2);
  compare->add_flag("--json", *json, "as JSON");
  compare->callback([pair, json, &status] { status = Compare(*pair, *json); });

  auto kept = std::make_shared<std::string>();
  auto id = std::make_shared<std::string>();
  CLI::App* const trace = lab->add_subcommand("trace", "What happened to one request of a run that was kept");
  trace->add_option("DIR", *kept, "directory given to --keep")->required();
  trace->add_option("ID", *id, "Req-Id of a try")->required();
  trace->callback([kept, id, &status] { status = Trace(*kept, *id); });
}

}  // namespace violetwing::cli
