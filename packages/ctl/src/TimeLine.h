#ifndef PIMENTOFRONT_CTL_TIME_LINE_H
#define PIMENTOFRONT_CTL_TIME_LINE_H

#include "pimentofront/Base.h"

#include <string>
#include <vector>

namespace pimentofront {

/// \class TimeLineEvent
/// \brief One event out of some process's log.
struct TimeLineEvent {
  /// Hybrid logical time: the order over all processes.
  std::uint64_t Hlc = 0;
  std::uint64_t Milliseconds = 0;
  std::string Host;
  std::string Zone;
  std::string Level;
  std::string Event;
  std::string Request;
  /// The other fields, as "name=value".
  std::string Details;
  friend auto operator<=>(const TimeLineEvent &,
                          const TimeLineEvent &) = default;
};

/// \class TimeLine
/// \brief The events of all processes in one order.
class TimeLine {
public:
  /// Takes in the lines of one log. Lines that are no events leave findings.
  void addLog(const std::string &file, std::string_view text,
              Findings &findings);
  /// Keeps only the events of one request and those of no request.
  void keepRequest(const std::string &request);
  /// Sorts by hybrid time; to be called after all logs are in.
  void sort();

  const std::vector<TimeLineEvent> &events() const { return Events; }
  std::string toText() const;
  /// \returns the lines of one request in order and, in a sentence, what they
  /// say of its end; empty if no line names it.
  std::string explain(const std::string &request) const;
  /// \returns one page that needs nothing else: a column a process.
  std::string toPage() const;

private:
  std::vector<TimeLineEvent> Events;
};

} // namespace pimentofront

#endif
