#ifndef PIMENTOFRONT_CROWD_PROCESS_H
#define PIMENTOFRONT_CROWD_PROCESS_H

#include "../soak/Child.h"

namespace pimentofront::crowd {

/// \class Process
/// \brief A process of the system under test, and what the kernel says of it.
class Process {
public:
  /// \param descriptors limit on its open descriptors; 0 leaves it as it is.
  Process(const std::string &daemon, const std::string &settings,
          const std::string &log, int descriptors);

  /// \returns whether the process still runs.
  bool lives();
  /// \returns the most memory that it has had resident, in KiB.
  std::size_t peakKibibytes() const;
  /// \returns the memory that it has resident, in KiB.
  std::size_t residentKibibytes() const;
  std::size_t descriptors() const;
  /// \returns the processor time that it has used, in ms.
  std::size_t processorMilliseconds() const;

private:
  std::size_t statusField(const std::string &name) const;
  /// \returns its folder in /proc.
  std::string folder() const;

  soak::Child Started;
};

} // namespace pimentofront::crowd

#endif
