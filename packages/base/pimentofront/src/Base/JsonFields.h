#ifndef PIMENTOFRONT_BASE_JSON_FIELDS_H
#define PIMENTOFRONT_BASE_JSON_FIELDS_H

#include "pimentofront/Base.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace pimentofront {

/// \class JsonFields
/// \ingroup Base
/// \brief Typed access to one JSON object of another system. Faults are added
/// to the findings with their location. Unknown keys are ignored: a newer
/// release of the other system may add some.
class JsonFields {
public:
  JsonFields(const nlohmann::json &json, std::string path, Findings &findings)
      : Json(json), Location(std::move(path)), Faults(findings) {}

  bool has(const char *key) const {
    return Json.is_object() && Json.contains(key) && !Json[key].is_null();
  }
  /// \returns a string without control characters.
  std::string text(const char *key) const {
    std::string result;
    if (has(key) && Json[key].is_string())
      result = Json[key].get<std::string>();
    else
      fault(key, "expected a string");
    if (isPlainText(result))
      return result;
    fault(key, "expected no control characters");
    return {};
  }
  /// \returns a string that isn't empty.
  std::string name(const char *key) const {
    std::string result = text(key);
    if (result.empty() && has(key) && Json[key].is_string())
      fault(key, "expected a name");
    return result;
  }
  /// \returns a finite, non-negative number.
  double number(const char *key) const {
    if (has(key) && Json[key].is_number()) {
      const double value = Json[key].get<double>();
      if (std::isfinite(value) && value >= 0)
        return value;
    }
    fault(key, "expected a number from 0");
    return 0;
  }
  /// \returns an integer from 0 to \p limit; it may be written as 1.0.
  std::uint64_t integer(const char *key,
                        std::uint64_t limit = MaxExactInteger) const {
    if (has(key) && Json[key].is_number_unsigned() &&
        Json[key].get<std::uint64_t>() <= limit)
      return Json[key].get<std::uint64_t>();
    if (has(key) && Json[key].is_number_float()) {
      const double value = Json[key].get<double>();
      if (value >= 0 && value <= static_cast<double>(limit) &&
          value == std::floor(value))
        return static_cast<std::uint64_t>(value);
    }
    fault(key, "expected a whole number from 0, not too large");
    return 0;
  }
  std::uint32_t count(const char *key) const {
    return static_cast<std::uint32_t>(
        integer(key, std::numeric_limits<std::uint32_t>::max()));
  }
  /// \returns 0 if the key is missing.
  std::uint64_t optionalInteger(const char *key) const {
    return has(key) ? integer(key) : 0;
  }
  /// \returns false if the flag is missing.
  bool flag(const char *key) const {
    if (!has(key))
      return false;
    if (Json[key].is_boolean())
      return Json[key].get<bool>();
    fault(key, "expected true or false");
    return false;
  }
  JsonFields object(const char *key) const {
    if (!has(key) || !Json[key].is_object())
      fault(key, "expected an object");
    static const nlohmann::json Nothing = nlohmann::json::object();
    return {has(key) ? Json[key] : Nothing, Location + "/" + key, Faults};
  }
  std::vector<JsonFields> objects(const char *key) const {
    std::vector<JsonFields> result;
    if (!has(key) || !Json[key].is_array()) {
      fault(key, "expected a list");
      return result;
    }
    for (std::size_t i = 0; i < Json[key].size(); ++i)
      result.push_back({Json[key][i],
                        Location + "/" + key + "/" + std::to_string(i),
                        Faults});
    return result;
  }
  /// \returns an empty list if the key is missing.
  std::vector<std::string> texts(const char *key) const {
    std::vector<std::string> result;
    if (!has(key))
      return result;
    if (!Json[key].is_array()) {
      fault(key, "expected a list");
      return result;
    }
    for (const nlohmann::json &it : Json[key]) {
      if (it.is_string())
        result.push_back(it.get<std::string>());
      else
        fault(key, "expected texts only");
    }
    return result;
  }
  void fault(const char *key, const char *message) const {
    Faults.add(Location + "/" + key, message);
  }

private:
  /// Largest integer that all JSON parsers represent exactly.
  static constexpr std::uint64_t MaxExactInteger = (std::uint64_t(1) << 53) - 1;

  const nlohmann::json &Json;
  std::string Location;
  Findings &Faults;
};

} // namespace pimentofront

#endif
