#ifndef PIMENTOFRONT_FORWARD_EVENT_STREAM_H
#define PIMENTOFRONT_FORWARD_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentofront {

/// \class EventStream
/// \ingroup Forward
/// \brief Takes a stream of server-sent events in pieces and gives out whole
/// events, each once, also when the stream goes on from another server: an
/// event whose id isn't higher than the last one is left out.
class EventStream {
public:
  EventStream() = default;
  /// \param last the receiver has the events up to this id.
  explicit EventStream(std::optional<std::uint64_t> last) : Last(last) {}

  /// \returns the whole events that \p bytes complete.
  std::string take(std::string_view bytes);
  /// Another server goes on: half an event of the one before is dropped.
  void restart() { Partial.clear(); }
  /// \returns what came after the last whole event.
  const std::string &partial() const { return Partial; }
  /// \returns the id of the last event that was given out.
  std::optional<std::uint64_t> last() const { return Last; }
  std::uint64_t events() const { return Events; }

private:
  bool accept(std::string_view event);

  std::string Partial;
  std::optional<std::uint64_t> Last;
  std::uint64_t Events = 0;
};

} // namespace pimentofront

#endif
