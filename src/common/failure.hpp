// The result type of operations whose errors are shown to an operator: an error code for the program, and a
// message for the log.
#ifndef VIOLETWING_COMMON_FAILURE_HPP_
#define VIOLETWING_COMMON_FAILURE_HPP_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <string>
#include <system_error>

namespace violetwing {

/// Describes a failed operation.
struct Failure {
  std::error_code code;
  std::string message;  ///< one line: the failed operation, its file or address, and the reason
};

/// Either a value or a Failure. `Fallible<void>` carries no value; create one with Success().
/// value() requires has_value(), and error() requires has_error().
template <class T>
using Fallible = boost::outcome_v2::basic_result<T, Failure, boost::outcome_v2::policy::all_narrow>;

/// The success of an operation that has no value.
inline Fallible<void> Success() { return boost::outcome_v2::success(); }

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_FAILURE_HPP_
