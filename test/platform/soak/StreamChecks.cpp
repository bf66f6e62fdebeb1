#include "StreamChecks.h"

#include <algorithm>

namespace pimentofront::soak {
namespace {

std::string describeEvent(const StreamEvent &it) {
  return "event " + std::to_string(it.Id) + " of " + it.Version + " (" +
         it.Server + ") in attempt " + it.Attempt;
}

std::string describeAttempts(const StreamRecord &stream) {
  std::string text = "attempts";
  for (const StreamAttempt &it : stream.Attempts)
    text += " " + it.Id + " (" + it.Entry +
            (it.Course.empty() ? "" : ", " + it.Course) + ")";
  return text + ", " + std::to_string(stream.lastEvent()) + " of " +
         std::to_string(stream.Length) + " events";
}

/// New streams are compared with a resumption if they started within this time
/// before or after it.
constexpr Duration ComparedTime = std::chrono::seconds(1);

/// \returns the share of streams that began, of those that started near \p at;
/// of all streams if none did.
StreamShare begunStreamsNear(const std::vector<StreamRecord> &streams,
                             TimePoint at) {
  StreamShare result;
  for (const StreamRecord &it : streams) {
    if (it.StartedAt < at - ComparedTime || it.StartedAt > at + ComparedTime)
      continue;
    ++result.Of;
    result.Good += it.Events.empty() ? 0 : 1;
  }
  return result.Of == 0 ? begunStreams(streams) : result;
}

/// \returns the share that went on of those that \p counts, while two servers
/// of their version served.
template <typename Counts>
StreamShare shareOfResumptions(const std::vector<StreamRecord> &streams,
                               Counts counts) {
  StreamShare result;
  for (const StreamRecord &stream : streams) {
    for (const Resumption &it : stream.Resumptions) {
      if (!it.HadTwoServers || !counts(it))
        continue;
      ++result.Of;
      result.Good += it.WentOn ? 1 : 0;
    }
  }
  return result;
}

/// \returns the first fault in the order of the events, or an empty text.
std::string orderFault(const StreamRecord &stream) {
  if (!stream.Malformed.empty())
    return "not an event of its server: " + stream.Malformed.front();
  std::uint64_t expected = 1;
  for (const StreamEvent &it : stream.Events) {
    if (it.Id != expected)
      return describeEvent(it) + " where " + std::to_string(expected) +
             " is next";
    ++expected;
  }
  if (expected > stream.Length + 1)
    return "an event after the last one";
  const bool complete =
      std::ranges::any_of(stream.Attempts, &StreamAttempt::IsComplete);
  if (complete && !stream.isWhole())
    return "ended as complete before its last event";
  return {};
}

} // namespace

std::vector<std::string>
checkEventOrder(const std::vector<StreamRecord> &streams) {
  std::vector<std::string> lines;
  for (const StreamRecord &it : streams) {
    const std::string fault = orderFault(it);
    if (!fault.empty())
      lines.push_back("stream: " + fault + "; " + describeAttempts(it));
  }
  return lines;
}

std::vector<std::string>
describeMixedStreams(const std::vector<StreamRecord> &streams) {
  std::vector<std::string> lines;
  for (const StreamRecord &it : streams) {
    const auto other =
        std::ranges::find_if(it.Events, [&](const StreamEvent &event) {
          return event.Version != it.Events.front().Version;
        });
    if (other != it.Events.end())
      lines.push_back("stream of two software versions: " +
                      describeEvent(it.Events.front()) + ", " +
                      describeEvent(*other) + "; " + describeAttempts(it));
  }
  return lines;
}

std::vector<std::string>
checkVersions(const std::vector<StreamRecord> &streams) {
  auto lines = describeMixedStreams(streams);
  if (lines.size() <= MaxMixedStreams)
    lines.clear();
  return lines;
}

StreamShare begunStreams(const std::vector<StreamRecord> &streams) {
  const auto begun = std::ranges::count_if(
      streams, [](const StreamRecord &it) { return !it.Events.empty(); });
  return {.Of = streams.size(), .Good = static_cast<std::size_t>(begun)};
}

StreamShare resumedStreams(const std::vector<StreamRecord> &streams) {
  return shareOfResumptions(streams, [](const Resumption &) { return true; });
}

StreamShare streamsResumedInTouch(const std::vector<StreamRecord> &streams) {
  return shareOfResumptions(
      streams, [](const Resumption &it) { return it.HadEntryInTouch; });
}

double expectedResumptions(const std::vector<StreamRecord> &streams) {
  double result = 0;
  for (const StreamRecord &stream : streams)
    for (const Resumption &it : stream.Resumptions)
      if (it.HadTwoServers)
        result += begunStreamsNear(streams, it.StartedAt).share();
  return result;
}

std::vector<std::string>
checkResumptions(const std::vector<StreamRecord> &streams) {
  const StreamShare resumed = resumedStreams(streams);
  const double expected = expectedResumptions(streams) / 2;
  if (resumed.Of < MinResumptions ||
      static_cast<double>(resumed.Good) >= expected)
    return {};
  std::vector<std::string> lines = {
      std::to_string(resumed.Good) + " of " + std::to_string(resumed.Of) +
      " resumed streams went on while two servers of their version served, "
      "fewer than " +
      std::to_string(expected) + " by half of the new streams' share"};
  for (const StreamRecord &stream : streams)
    for (const Resumption &it : stream.Resumptions)
      if (it.HadTwoServers && !it.WentOn)
        lines.push_back("stream of " + stream.Events.front().Version +
                        " didn't go on in attempt " + it.Attempts.front() +
                        "; " + describeAttempts(stream));
  return lines;
}

} // namespace pimentofront::soak
