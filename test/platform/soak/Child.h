#ifndef PIMENTOFRONT_SOAK_CHILD_H
#define PIMENTOFRONT_SOAK_CHILD_H

#include "pimentofront/Base.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentofront::soak {

/// \class Child
/// \brief A process that the soak test has started.
///
/// The soak test signals processes only through this class, which uses the id
/// of the started process and only while that process runs.
class Child {
public:
  /// \param log file for the process's standard output and standard error.
  Child(std::vector<std::string> command, std::string log)
      : Command(std::move(command)), Log(std::move(log)) {}
  /// Kills the process if it still runs.
  ~Child();
  Child(Child &&other) noexcept;
  Child &operator=(Child &&) = delete;
  Child(const Child &) = delete;

  void start();
  /// Signals the process, if it runs.
  void signal(int number);
  /// \returns the status of waitpid() once after the process has ended; else
  /// not set.
  std::optional<int> reap();
  bool runs() const { return Id > 0; }
  /// \returns the id of the process; 0 while it doesn't run.
  pid_t id() const { return Id; }
  /// \returns whether the process got SIGTERM before it had written anything.
  /// It may not have installed its signal handlers by then.
  bool stoppedEarly() const { return StoppedEarly; }
  /// \returns the number of starts so far, which identifies the incarnation.
  std::uint32_t starts() const { return Starts; }

private:
  std::vector<std::string> Command;
  std::string Log;
  pid_t Id = 0;
  std::uint32_t Starts = 0;
  /// Size of the log when the process started, in bytes.
  std::uintmax_t LogSizeBefore = 0;
  bool StoppedEarly = false;
};

} // namespace pimentofront::soak

#endif
