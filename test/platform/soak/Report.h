#ifndef PIMENTOFRONT_SOAK_REPORT_H
#define PIMENTOFRONT_SOAK_REPORT_H

#include "pimentofront/Base.h"

#include <map>
#include <string>
#include <vector>

namespace pimentofront::soak {

/// \class Report
/// \brief Results of a run: each violation with its time since the start of the
/// run, and a count of each kind of event.
struct Report {
  std::vector<std::string> Violations;
  std::map<std::string, std::uint64_t> Counts;

  void addViolation(TimePoint since, TimePoint now, const std::string &what) {
    Violations.push_back(std::to_string((now - since).count() / 1000) +
                         " ms: " + what);
  }
};

} // namespace pimentofront::soak

#endif
