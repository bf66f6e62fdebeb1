#ifndef PIMENTOFRONT_SOAK_CHILD_H
#define PIMENTOFRONT_SOAK_CHILD_H

#include "pimentofront/Base.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentofront::soak {

/// \class Child
/// \brief A process that the soak has started, and the only way in which it
/// signals one: by the id that it got, while that process lives.
class Child {
public:
  /// \param log takes what the process writes.
  Child(std::vector<std::string> command, std::string log)
      : Command(std::move(command)), Log(std::move(log)) {}
  /// Kills what still runs.
  ~Child();
  Child(Child &&other) noexcept;
  Child &operator=(Child &&) = delete;
  Child(const Child &) = delete;

  void start();
  /// Signals the process, if it runs.
  void signal(int number);
  /// \returns how the process ended, once, as waitpid() tells it.
  std::optional<int> reap();
  bool runs() const { return Id > 0; }
  /// \returns whether the process was told to stop before it had written
  /// anything: it may not have taken over the handling of signals yet.
  bool stoppedEarly() const { return StoppedEarly; }
  /// Starts so far: names an incarnation.
  std::uint32_t starts() const { return Starts; }

private:
  std::vector<std::string> Command;
  std::string Log;
  pid_t Id = 0;
  std::uint32_t Starts = 0;
  /// Of the log, when the process started.
  std::uintmax_t LogSizeBefore = 0;
  bool StoppedEarly = false;
};

} // namespace pimentofront::soak

#endif
