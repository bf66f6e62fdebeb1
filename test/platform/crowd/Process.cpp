#include "Process.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace pimentofront::crowd {
namespace {

std::vector<std::string> commandOf(const std::string &daemon,
                                   const std::string &settings,
                                   int descriptors) {
  if (descriptors == 0)
    return {daemon, "--settings", settings};
  return {"/bin/sh",
          "-c",
          "ulimit -n " + std::to_string(descriptors) + "; exec \"$0\" \"$@\"",
          daemon,
          "--settings",
          settings};
}

} // namespace

Process::Process(const std::string &daemon, const std::string &settings,
                 const std::string &log, int descriptors)
    : Started(commandOf(daemon, settings, descriptors), log) {
  Started.start();
}

bool Process::lives() {
  Started.reap();
  return Started.runs();
}

std::string Process::folder() const {
  return "/proc/" + std::to_string(Started.id());
}

std::size_t Process::statusField(const std::string &name) const {
  std::ifstream file(folder() + "/status");
  std::string line;
  while (std::getline(file, line))
    if (line.starts_with(name + ":"))
      return std::stoul(line.substr(name.size() + 1));
  return 0;
}

std::size_t Process::peakKibibytes() const { return statusField("VmHWM"); }
std::size_t Process::residentKibibytes() const { return statusField("VmRSS"); }

std::size_t Process::descriptors() const {
  std::size_t n = 0;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(folder() + "/fd", ec), end;
       !ec && it != end; it.increment(ec))
    ++n;
  return n;
}

std::size_t Process::processorMilliseconds() const {
  std::ifstream file(folder() + "/schedstat");
  constexpr std::size_t NanosPerMilli = 1'000'000;
  std::size_t nanos = 0;
  file >> nanos;
  return nanos / NanosPerMilli;
}

} // namespace pimentofront::crowd
