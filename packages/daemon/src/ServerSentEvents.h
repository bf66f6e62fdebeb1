#ifndef PIMENTOFRONT_DAEMON_SERVER_SENT_EVENTS_H
#define PIMENTOFRONT_DAEMON_SERVER_SENT_EVENTS_H

#include <optional>
#include <string>
#include <string_view>

namespace pimentofront {

/// \class ServerSentEvents
/// \brief Takes the data of server-sent events (WHATWG HTML, 9.2) out of bytes
/// that arrive in any pieces. Only what engines use: one data line an event.
class ServerSentEvents {
public:
  void feed(std::string_view bytes) { Buffer += bytes; }
  /// \returns the data of the next event, if there is one.
  std::optional<std::string> next();

private:
  std::string Buffer;
};

} // namespace pimentofront

#endif
