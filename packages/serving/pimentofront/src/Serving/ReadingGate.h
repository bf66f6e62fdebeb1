#ifndef PIMENTOFRONT_SERVING_READING_GATE_H
#define PIMENTOFRONT_SERVING_READING_GATE_H

#include "FirstEventModel.h"

namespace pimentofront {

/// \class ReadingGate
/// \ingroup Serving
/// \brief Decides whether a prompt is handed to the engine now, or waits at the
/// agent until the engine has read most of what it has.
///
/// The load it answers: long prompts that arrive faster than an engine reads
/// them. One that waits inside the engine can't be ordered, displaced or
/// refused as not run any more; one that waits at the agent can. The gate is
/// open while the prompts that the engine reads before this one take less than
/// `LowMark`, so the engine always has something to read, and a prompt passes
/// less urgent ones as it does inside the engine. What is unread is an estimate
/// that time alone reduces, so a lost report, or an entry that doesn't send,
/// closes the gate no longer than the expected reading.
class ReadingGate {
public:
  /// Expected reading time of what the engine has, below which it is given
  /// more: covers the way of a permit through the entry, the interval of the
  /// agent's timer and what the estimate is off by.
  static constexpr Duration LowMark = std::chrono::milliseconds(60);

  /// \returns whether a prompt of \p urgency may be handed over.
  bool isOpen(TimePoint now, const FirstEventModel &model,
              std::uint32_t urgency) const;
};

} // namespace pimentofront

#endif
