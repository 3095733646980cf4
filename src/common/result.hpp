// The result type of operations that can fail.
#ifndef VIOLETWING_COMMON_RESULT_HPP_
#define VIOLETWING_COMMON_RESULT_HPP_

#include <boost/outcome/std_result.hpp>
#include <system_error>

namespace violetwing {

/// Either a value or a std::error_code. `Result<void>` carries no value; create one with Ok().
/// An enumerator that is registered as an error code converts implicitly: `return ControlErrc::kX;`.
template <class T>
using Result = boost::outcome_v2::std_result<T>;

/// The success of an operation that has no value.
inline Result<void> Ok() { return boost::outcome_v2::success(); }

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_RESULT_HPP_
