#ifndef PIMENTOFRONT_BASE_FINDING_H
#define PIMENTOFRONT_BASE_FINDING_H

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace pimentofront {

/// \class Finding
/// \ingroup Base
/// \brief One error in an input, and its location.
struct Finding {
  /// File, line, JSON pointer or field name, as precise as known.
  std::string Location;
  /// What is wrong and what was expected.
  std::string Message;

  friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// \class Findings
/// \ingroup Base
/// \brief Collects all errors in an input, so that they are reported together.
class Findings {
public:
  void add(std::string_view location, std::string_view message);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }
  /// \returns one line for each finding, "location: message".
  std::string toText() const;

private:
  std::vector<Finding> Items;
};

} // namespace pimentofront

#endif
