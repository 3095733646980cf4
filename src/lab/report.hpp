// What a run is told as: JSON of a stated version, a summary for people, one HTML file, and two runs side by
// side.
#ifndef VIOLETWING_LAB_REPORT_HPP_
#define VIOLETWING_LAB_REPORT_HPP_

#include <nlohmann/json.hpp>
#include <string>

#include "lab/judge/core.hpp"

namespace violetwing::lab {

inline constexpr int kReportVersion = 1;

nlohmann::ordered_json ReportJson(const Scenario& scenario, const Plan& plan, const Records& records,
                                  const Verdict& verdict, const std::string& sidecar);

// Both take what ReportJson gives.
std::string Summary(const nlohmann::ordered_json& report);
std::string Html(const nlohmann::ordered_json& report);

// The figures that both have, and their difference where both are numbers. Throws std::runtime_error if
// either is no report of this version.
nlohmann::ordered_json Compare(const nlohmann::ordered_json& a, const nlohmann::ordered_json& b);
std::string CompareTable(const nlohmann::ordered_json& compared);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_REPORT_HPP_
