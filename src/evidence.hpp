// What an outcome tells of the server it came from.
#ifndef MERLINRUN_SRC_EVIDENCE_HPP_
#define MERLINRUN_SRC_EVIDENCE_HPP_

#include <cstddef>

#include "records.hpp"

namespace merlinrun {

// Takes an outcome of class `own`, of `classes`, into what is known of the server and of the class's usual
// time. True if the server is to be ejected for it.
bool Learn(Server& server, ClassTimes& times, std::size_t own, std::size_t classes, Micros aim,
           const Outcome& outcome);

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_EVIDENCE_HPP_
