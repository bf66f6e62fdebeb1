#ifndef PIMENTOFRONT_DAEMON_SERVER_SENT_EVENTS_H
#define PIMENTOFRONT_DAEMON_SERVER_SENT_EVENTS_H

#include <optional>
#include <string>
#include <string_view>

namespace pimentofront {

/// \class ServerSentEvents
/// \brief Incremental parser of server-sent events (WHATWG HTML, 9.2); the
/// input may be split anywhere. Supports what engines send: one data line per
/// event; ignores other fields.
class ServerSentEvents {
public:
  void feed(std::string_view bytes) { Buffer += bytes; }
  /// \returns the data of the next event, if it has arrived completely.
  std::optional<std::string> next();
  /// \returns whether a line is longer than MaxLineBytes, which no engine
  /// sends.
  bool isLineTooLong() const { return Buffer.size() > MaxLineBytes; }

private:
  static constexpr std::size_t MaxLineBytes = std::size_t(256) << 10;

  std::string Buffer;
};

} // namespace pimentofront

#endif
