#ifndef PIMENTOFRONT_NET_EVENT_LOOP_H
#define PIMENTOFRONT_NET_EVENT_LOOP_H

#include "pimentofront/Base.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event;
struct event_base;

namespace pimentofront {

/// \class Timer
/// \ingroup Net
/// \brief A call at a later time, once or again and again; ends with the
/// object.
class Timer {
public:
  Timer() = default;
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

private:
  friend class EventLoop;
  event *Event = nullptr;
  std::function<void()> Action;
};

/// \class EventLoop
/// \ingroup Net
/// \brief The one loop of a process.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// \returns the present time of the boot clock, read anew at each call, so
  /// that a process that was frozen notices before it acts.
  TimePoint now() const;
  /// \returns wall time in milliseconds since 1970, for logs and claims.
  std::uint64_t wallMilliseconds() const;

  /// Calls \p action every \p period until the result is destroyed.
  std::unique_ptr<Timer> every(Duration period, std::function<void()> action);
  /// Calls \p action once after \p delay, unless the result is destroyed.
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> action);
  /// Calls \p action when signal \p number arrives.
  std::unique_ptr<Timer> onSignal(int number, std::function<void()> action);

  /// Runs until stop() is called.
  void run();
  void stop();
  event_base *base() const { return Base; }

private:
  event_base *Base;
};

/// \class HostPort
/// \ingroup Net
/// \brief An address of a process: numeric IP and TCP port.
struct HostPort {
  std::string Ip;
  std::uint16_t Port = 0;

  /// \returns the parts of "ip:port", or nothing if it is malformed.
  static std::optional<HostPort> parse(const std::string &text);
  friend auto operator<=>(const HostPort &, const HostPort &) = default;
};

} // namespace pimentofront

#endif
