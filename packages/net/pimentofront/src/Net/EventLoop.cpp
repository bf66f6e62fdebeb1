#include "pimentofront/Net.h"

#include <arpa/inet.h>
#include <charconv>
#include <event2/event.h>
#include <stdexcept>
#include <time.h>

namespace pimentofront {
namespace {

timeval toTimeval(Duration d) {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  const std::int64_t n = std::max<std::int64_t>(d.count(), 0);
  return {static_cast<time_t>(n / MicrosPerSecond),
          static_cast<suseconds_t>(n % MicrosPerSecond)};
}

void runAction(evutil_socket_t, short, void *action) {
  (*static_cast<std::function<void()> *>(action))();
}

} // namespace

Timer::~Timer() {
  if (Event)
    event_free(Event);
}

EventLoop::EventLoop() : Base(nullptr) {
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  Base = event_base_new_with_config(config);
  event_config_free(config);
  if (!Base)
    throw std::runtime_error("libevent can't create an event base");
}

EventLoop::~EventLoop() { event_base_free(Base); }

TimePoint EventLoop::now() const {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

std::uint64_t EventLoop::wallMilliseconds() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::unique_ptr<Timer> EventLoop::every(Duration period,
                                        std::function<void()> action) {
  auto timer = std::make_unique<Timer>();
  timer->Action = std::move(action);
  timer->Event = event_new(Base, -1, EV_PERSIST, runAction, &timer->Action);
  const timeval tv = toTimeval(period);
  event_add(timer->Event, &tv);
  return timer;
}

std::unique_ptr<Timer> EventLoop::after(Duration delay,
                                        std::function<void()> action) {
  auto timer = std::make_unique<Timer>();
  timer->Action = std::move(action);
  timer->Event = evtimer_new(Base, runAction, &timer->Action);
  const timeval tv = toTimeval(delay);
  evtimer_add(timer->Event, &tv);
  return timer;
}

std::unique_ptr<Timer> EventLoop::onSignal(int number,
                                           std::function<void()> action) {
  auto timer = std::make_unique<Timer>();
  timer->Action = std::move(action);
  timer->Event = evsignal_new(Base, number, runAction, &timer->Action);
  evsignal_add(timer->Event, nullptr);
  return timer;
}

void EventLoop::run() { event_base_dispatch(Base); }
void EventLoop::stop() { event_base_loopbreak(Base); }

std::optional<HostPort> HostPort::parse(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  HostPort result{.Ip = text.substr(0, colon)};
  in_addr ip{};
  if (inet_pton(AF_INET, result.Ip.c_str(), &ip) != 1)
    return std::nullopt;
  const char *end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, result.Port);
  if (parsed.ec != std::errc() || parsed.ptr != end || result.Port == 0)
    return std::nullopt;
  return result;
}

} // namespace pimentofront
