#ifndef PIMENTOFRONT_CTL_TIME_LINE_H
#define PIMENTOFRONT_CTL_TIME_LINE_H

#include "pimentofront/Base.h"

#include <string>
#include <vector>

namespace pimentofront {

/// \class TimeLineEvent
/// \brief An event from the log of one process.
struct TimeLineEvent {
  /// Hybrid logical timestamp, which orders the events of all processes.
  std::uint64_t Hlc = 0;
  std::uint64_t Milliseconds = 0;
  std::string Host;
  std::string Zone;
  std::string Level;
  std::string Event;
  std::string Request;
  /// The other fields, as "name=value" separated by spaces.
  std::string Details;
  friend auto operator<=>(const TimeLineEvent &,
                          const TimeLineEvent &) = default;
};

/// \class TimeLine
/// \brief Merges the events of all processes into one sequence.
class TimeLine {
public:
  /// Adds the events of one log. A line without a JSON object that has the
  /// field "hlc" adds a finding. Text before the object and empty lines are
  /// ignored.
  void addLog(const std::string &file, std::string_view text,
              Findings &findings);
  /// Removes the events of all other requests. Events that belong to no request
  /// stay.
  void removeOtherRequests(const std::string &request);
  /// Sorts the events by timestamp; must be called after all logs are added.
  void sort();

  const std::vector<TimeLineEvent> &events() const { return Events; }
  std::string toText() const;
  /// \returns the lines of one request in order, and a sentence on how and why
  /// it ended; empty if no line names the request. Needs sort() before.
  std::string explain(const std::string &request) const;
  /// \returns a self-contained HTML page with a column for each host.
  std::string toHtml() const;

private:
  std::vector<TimeLineEvent> Events;
};

} // namespace pimentofront

#endif
