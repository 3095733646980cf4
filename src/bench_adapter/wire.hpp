// Parses the line-based text protocol between the simulator and the adapter: the fields of a line and the
// settings of an instance.
#ifndef VIOLETWING_BENCH_ADAPTER_WIRE_HPP_
#define VIOLETWING_BENCH_ADAPTER_WIRE_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "bench_adapter/balancer_types.hpp"

namespace violetwing::bench_adapter {

/// A malformed line or setting. Host adds the line number and the verb to the text.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Reads the space-separated fields of one line from left to right. Does not own the line. `what` names the
/// field in error texts. The members that take it throw WireError if the field is missing, empty or
/// malformed.
class Fields {
 public:
  explicit Fields(std::string_view line) : remaining_(line) {}
  std::string_view Word(const char* what);                    ///< Never empty.
  std::optional<std::int64_t> OptionalInt(const char* what);  ///< `-` means absent.
  std::int64_t Int(const char* what);
  std::int64_t NonNegative(const char* what);  ///< 0 to 2^60.
  std::uint64_t Unsigned(const char* what);
  double Number(const char* what);  ///< Finite.
  bool Bool(const char* what);      ///< 1 or 0.
  std::string_view TakeRest();      ///< The unread part of the line; may be empty.
  void ExpectEnd();                 ///< Throws WireError if fields are left.

 private:
  std::string_view remaining_;
  bool has_more_ = true;
};

/// The settings of an instance: those of the balancer, and the names of zones and machine types, whose
/// positions in the lists are the indices that the balancer uses.
struct WireSettings {
  Settings settings;
  std::vector<std::string> zones;
  std::vector<std::string> machines;
};

/// Parses space-separated `path=value` pairs. Unknown paths are ignored, and an absent path or the value `-`
/// means the default. Throws WireError if a pair or a value is invalid.
WireSettings ParseSettings(std::string_view pairs);
/// The enumerator for a word of the protocol. Throws WireError if the word is unknown.
Result ParseResult(std::string_view word);
/// Parses comma-separated `name:value` pairs. `-` instead of the pairs means no report; a value of `-` leaves
/// the field unset. Unknown names are ignored. Throws WireError if a pair is malformed.
LoadReport ParseLoad(std::string_view pairs);
/// The bytes that the hex digits encode; `-` means no bytes. Throws WireError on anything else.
std::string ParseHex(std::string_view digits);
/// Parses a server's `readiness` field. Throws WireError if the word is unknown.
ServerInfo::State ParseState(std::string_view word);

/// The index of `name` in `names`, or -1 if it is absent.
int IndexOf(const std::vector<std::string>& names, std::string_view name);

}  // namespace violetwing::bench_adapter

#endif  // VIOLETWING_BENCH_ADAPTER_WIRE_HPP_
