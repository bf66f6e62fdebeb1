#ifndef PIMENTOFRONT_FORWARD_EVENT_STREAM_H
#define PIMENTOFRONT_FORWARD_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentofront {

/// \class EventStream
/// \ingroup Forward
/// \brief Splits a stream of server-sent events, received in pieces, into
/// complete events and returns each event once. If another server resumes the
/// stream, events whose id isn't above the last one returned are skipped.
class EventStream {
public:
  EventStream() = default;
  /// \param last id of the last event that the receiver already has.
  explicit EventStream(std::optional<std::uint64_t> last) : Last(last) {}

  /// \returns the events that \p bytes complete.
  std::string feed(std::string_view bytes);
  /// Discards an incomplete event of the former server, since another server
  /// resumes the stream.
  void restart() {
    Partial.clear();
    SplitLineEnd = false;
  }
  /// \returns the bytes received after the last complete event.
  const std::string &partial() const { return Partial; }
  /// \returns the id of the last event that was returned, if any has an id.
  std::optional<std::uint64_t> lastId() const { return Last; }
  std::uint64_t events() const { return Events; }

private:
  bool accept(std::string_view event);

  std::string Partial;
  /// The last event ended with a CR, and an LF that follows belongs to it.
  bool SplitLineEnd = false;
  /// The last event was returned, not skipped.
  bool LastAccepted = false;
  std::optional<std::uint64_t> Last;
  std::uint64_t Events = 0;
};

} // namespace pimentofront

#endif
