#include "PipeAppender.h"

#include <climits>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace pimentofront {

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent &event) {
  std::string line = event.getMessage();
  // A pipe that polls as writable accepts up to PIPE_BUF bytes atomically and
  // without blocking.
  if (line.size() >= PIPE_BUF)
    line = line.substr(0, PIPE_BUF - 3) + "\"}";
  line += '\n';
  pollfd ready{Fd, POLLOUT, 0};
  const bool writable = ::poll(&ready, 1, 0) == 1 &&
                        (ready.revents & POLLOUT) &&
                        !(ready.revents & (POLLERR | POLLHUP));
  if (!writable || ::write(Fd, line.data(), line.size()) < 0)
    ++Dropped;
}

} // namespace pimentofront
