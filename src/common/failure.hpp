// The result type of operations whose errors an operator reads: a code for the program, a line for the log.
#ifndef VIOLETWING_COMMON_FAILURE_HPP_
#define VIOLETWING_COMMON_FAILURE_HPP_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <string>
#include <system_error>

namespace violetwing {

/// What has failed.
struct Failure {
  std::error_code code;
  std::string message;  ///< one line: what could not be done, with which file or address, and the reason
};

/// Either a value or a Failure. `Fallible<void>` carries no value; make one by Success().
/// value() and error() must only be called where has_value() or has_error() holds.
template <class T>
using Fallible = boost::outcome_v2::basic_result<T, Failure, boost::outcome_v2::policy::all_narrow>;

/// The success of an operation that has no value.
inline Fallible<void> Success() { return boost::outcome_v2::success(); }

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_FAILURE_HPP_
