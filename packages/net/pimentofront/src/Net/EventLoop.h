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
/// \brief A callback that runs after a delay, periodically or on a signal.
/// Destroying the object cancels it.
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
/// \brief The event loop of a process; all its callbacks run on one thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// \returns the time of CLOCK_BOOTTIME, read anew at each call, so that a
  /// process that was paused or suspended notices that before it acts.
  TimePoint now() const;
  /// \returns wall-clock time in milliseconds since 1970, for logs and claims.
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
/// \brief The address of a process: numeric IPv4 address and TCP port.
struct HostPort {
  std::string Ip;
  std::uint16_t Port = 0;

  /// \returns the parts of "ip:port", or nullopt if \p text is malformed.
  static std::optional<HostPort> parse(const std::string &text);
  friend auto operator<=>(const HostPort &, const HostPort &) = default;
};

} // namespace pimentofront

#endif
