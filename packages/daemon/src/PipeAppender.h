#ifndef PIMENTOFRONT_DAEMON_PIPE_APPENDER_H
#define PIMENTOFRONT_DAEMON_PIPE_APPENDER_H

#include <atomic>
#include <cstdint>
#include <log4cplus/appender.h>

namespace pimentofront {

/// \class PipeAppender
/// \brief Writes lines to a pipe without ever blocking: if the reader is too
/// slow and the pipe is full, the line is dropped and counted.
class PipeAppender : public log4cplus::Appender {
public:
  explicit PipeAppender(int fd) : Fd(fd) {}
  ~PipeAppender() override { destructorImpl(); }
  void close() override { closed = true; }
  std::uint64_t dropped() const { return Dropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
  int Fd;
  std::atomic<std::uint64_t> Dropped = 0;
};

} // namespace pimentofront

#endif
