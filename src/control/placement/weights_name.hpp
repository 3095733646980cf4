// Names of weights in requests and demand reports: "model" or "model/adapter".
#ifndef VIOLETWING_CONTROL_PLACEMENT_WEIGHTS_NAME_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_WEIGHTS_NAME_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace violetwing {

/// Returns the name of a model or of one of its adapters. `adapter` is empty for the model itself.
inline std::string WeightsName(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

/// Returns the model part of a name of weights.
inline std::string_view ModelIn(std::string_view name) { return name.substr(0, name.find('/')); }

/// Returns the adapter part of a name of weights; `nullopt` if the name has no slash.
inline std::optional<std::string> AdapterIn(std::string_view name) {
  const std::size_t slash = name.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  return std::string(name.substr(slash + 1));
}

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_WEIGHTS_NAME_HPP_
