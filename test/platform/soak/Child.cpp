#include "Child.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace pimentofront::soak {

namespace {

std::uintmax_t sizeOf(const std::string &path) {
  std::error_code ec;
  const std::uintmax_t size = std::filesystem::file_size(path, ec);
  return ec ? 0 : size;
}

} // namespace

Child::Child(Child &&other) noexcept
    : Command(std::move(other.Command)), Log(std::move(other.Log)),
      Id(std::exchange(other.Id, 0)), Starts(other.Starts),
      LogSizeBefore(other.LogSizeBefore), StoppedEarly(other.StoppedEarly) {}

Child::~Child() {
  if (!runs())
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
}

void Child::start() {
  std::vector<char *> arguments;
  for (std::string &it : Command)
    arguments.push_back(it.data());
  arguments.push_back(nullptr);
  LogSizeBefore = sizeOf(Log);
  StoppedEarly = false;
  const pid_t id = ::fork();
  if (id < 0)
    throw std::runtime_error("cannot start a process");
  if (id == 0) {
    // Ends the process with the soak test, also when that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // An inherited copy of a connection would keep it open after the soak test
    // has closed it.
    constexpr unsigned int FirstOtherFile = 3;
    ::close_range(FirstOtherFile, ~0U, 0);
    const int fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  Id = id;
  ++Starts;
}

void Child::signal(int number) {
  if (!runs())
    return;
  if (number == SIGTERM && sizeOf(Log) == LogSizeBefore)
    StoppedEarly = true;
  ::kill(Id, number);
}

std::optional<int> Child::reap() {
  int status = 0;
  if (!runs() || ::waitpid(Id, &status, WNOHANG) != Id)
    return std::nullopt;
  Id = 0;
  return status;
}

} // namespace pimentofront::soak
