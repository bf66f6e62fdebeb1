#ifndef PIMENTOFRONT_SERVING_FIRST_EVENT_MODEL_H
#define PIMENTOFRONT_SERVING_FIRST_EVENT_MODEL_H

#include "pimentofront/Wire.h"

namespace pimentofront {

/// \class FirstEventOptions
/// \ingroup Serving
struct FirstEventOptions {
  /// Reading speed in prompt tokens per second, until it has been measured.
  double TokensPerSecond = 40'000;
  /// Weight of the observations before, relative to the newest one.
  double Retention = 0.95;
  /// Number of observations that the initial speed counts as, each of a prompt
  /// of `PriorTokens`.
  double PriorWeight = 4;
  double PriorTokens = 4000;
  /// Largest observation that is learned from, as a multiple of the expected
  /// time and on top of it: a stall of an entry isn't the engine's.
  double LargestShare = 4;
  Duration LargestExcess = std::chrono::milliseconds(500);
};

/// \class FirstEventModel
/// \ingroup Serving
/// \brief Estimates when the first event of a prompt comes from an engine that
/// has further prompts to read, from the times that were observed at this
/// engine.
///
/// The load it answers: long prompts that are sent to an engine faster than it
/// reads them, beside streams, which slow the reading down. An engine reads the
/// most urgent prompts first and those of one urgency in order of arrival. The
/// time from sending a prompt to its first event is taken as linear in the
/// tokens to read before it and in it: the slope is the reading time of a token
/// while streams run, the constant is the time from the end of the reading to
/// the first event. Both are fitted to the latest observations (recursive least
/// squares with exponential forgetting, Ljung, System Identification, 1999), so
/// that they follow the pace of the engine and the shapes of its prompts. The
/// prompts not read yet are known from what was sent and from which prompts
/// have begun to be answered.
///
/// Use it at the one process that hands prompts to an engine. It doesn't see
/// prompts that others send, and doesn't know of cached parts: its callers
/// count only tokens that have to be read.
class FirstEventModel {
public:
  explicit FirstEventModel(const FirstEventOptions &options = {});

  /// \returns the expected time from sending a prompt of \p tokens until its
  /// first event, if it is sent now after \p ahead further tokens.
  Duration expected(TimePoint now, std::uint32_t urgency, std::uint64_t tokens,
                    std::uint64_t ahead = 0) const;
  /// \returns the time to read \p tokens.
  Duration readingTime(std::uint64_t tokens) const;
  /// \returns the number of tokens sent but not read, of prompts that are read
  /// before a new one of \p urgency.
  std::uint64_t unreadTokens(TimePoint now, std::uint32_t urgency) const;
  /// \returns the same of all prompts.
  std::uint64_t unreadTokens(TimePoint now) const;
  /// \returns the number of prompts whose first event hasn't been reported.
  std::size_t unbegun() const { return Sent.size(); }

  /// A prompt was sent, of which \p tokens have to be read.
  void onSent(TimePoint now, const AttemptId &attempt, std::uint32_t urgency,
              std::uint32_t tokens);
  /// The first event of \p attempt came \p took after it was sent; zero if that
  /// isn't known. Prompts that were sent before it and are read before it have
  /// been read.
  void onBegan(TimePoint now, const AttemptId &attempt, Duration took);
  /// The work on \p attempt has ended.
  void onEnded(TimePoint now, const AttemptId &attempt);
  /// Forgets all prompts after a restart of the engine. Its pace is kept.
  void clear(TimePoint now);

  double tokensPerSecond() const { return 1 / SecondsPerToken; }
  /// \returns the time from the end of the reading to the first event.
  Duration lag() const { return fromSeconds(LagSeconds); }
  /// \returns the smoothed absolute difference between expected and observed
  /// times.
  Duration meanError() const { return fromSeconds(MeanError); }

private:
  struct Prompt {
    AttemptId Attempt;
    std::uint32_t Urgency = 0;
    std::uint64_t Number = 0;
    /// Tokens that aren't read yet at `ReadUntil`.
    double Unread = 0;
    /// Tokens to read before the first event, when it was sent.
    double Work = 0;
  };
  void advance(TimePoint now);
  double unread(TimePoint now, std::uint32_t urgency) const;
  std::vector<Prompt>::iterator find(const AttemptId &attempt);
  void learn(double tokens, double seconds);
  void fit();

  FirstEventOptions Options;
  /// In the order in which the engine reads them.
  std::vector<Prompt> Sent;
  TimePoint ReadUntil;
  std::uint64_t LastNumber = 0;
  double SecondsPerToken;
  double LagSeconds = 0;
  double MeanError = 0;
  /// Weighted sums of the observations: of 1, of the tokens x and of the
  /// seconds y, and of their products.
  double SumWeight = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXx = 0;
  double SumXy = 0;
};

} // namespace pimentofront

#endif
