#ifndef PIMENTOFRONT_NET_CALL_ONCE_H
#define PIMENTOFRONT_NET_CALL_ONCE_H

#include "EventLoop.h"

#include <optional>

namespace pimentofront {

/// \ingroup Net
/// \returns a function that forwards its first call to \p done and ignores
/// later ones. If it isn't called within \p limit, \p done is called with
/// nullopt.
template <class T>
std::function<void(const std::optional<T> &)>
callOnceWithin(EventLoop &loop, Duration limit,
               std::function<void(const std::optional<T> &)> done) {
  struct Waiting {
    std::function<void(const std::optional<T> &)> Done;
    std::unique_ptr<Timer> Limit;
  };
  const auto waiting = std::make_shared<Waiting>();
  waiting->Done = std::move(done);
  const auto call = [waiting](const std::optional<T> &value) {
    if (const auto once = std::exchange(waiting->Done, nullptr))
      once(value);
  };
  waiting->Limit = loop.after(limit, [waiting, call] {
    const auto keep = std::move(waiting->Limit);
    call(std::nullopt);
  });
  return [waiting, call](const std::optional<T> &value) {
    waiting->Limit.reset();
    call(value);
  };
}

} // namespace pimentofront

#endif
