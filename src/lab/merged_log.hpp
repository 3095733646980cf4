// One log of a run in order of time: what the lab did, what the sidecars said, each try of a client, each
// attempt at a server, and what discovery told whom.
#ifndef VIOLETWING_LAB_MERGED_LOG_HPP_
#define VIOLETWING_LAB_MERGED_LOG_HPP_

#include <string>

#include "lab/journal.hpp"
#include "lab/plan.hpp"

namespace violetwing::lab {

// `records` tell times from the first planned moment, `journal` from `load_begin` before it. Throws
// std::runtime_error if the file cannot be written.
void WriteMergedLog(const std::string& file, const Journal& journal, const Plan& plan, const Records& records,
                    Micros load_begin);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_MERGED_LOG_HPP_
