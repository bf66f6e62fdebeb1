//===- main.cpp - The daemon's command line ---------------------*- C++ -*-===//

#include "Daemon.h"

#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <malloc.h>
#include <sstream>

using namespace pimentofront;

namespace {

constexpr const char *Help =
    "Usage: pimentofrontd --settings FILE [--check-settings]\n"
    "\n"
    "The daemon of pimentofront. FILE names its roles, one or several: entry,\n"
    "forward, agent beside a backend server, or replica of the system's "
    "state.\n"
    "\n"
    "  -s, --settings FILE    settings in JSON; docs/SETTINGS.md\n"
    "  -c, --check-settings   check the settings, report all faults, and exit\n"
    "  -h, --help             print this help\n"
    "  -V, --version          print the version\n"
    "\n"
    "Exit codes: 0 success, 2 invalid command line, 3 invalid settings,\n"
    "4 address can't be bound, 5 unusable data folder.\n"
    "SIGTERM stops gracefully, SIGHUP reopens the log file.\n";

struct Arguments {
  std::string SettingsFile;
  bool CheckOnly = false;
};

int exitWith(ExitCode code) { return static_cast<int>(code); }

} // namespace

int main(int argc, char **argv) {
  // A fixed threshold makes malloc return large freed buffers to the operating
  // system; the default one grows and keeps them in the heap.
  constexpr int LargeBuffer = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, LargeBuffer);
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check-settings", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'V'},
                            {nullptr, 0, nullptr, 0}};
  Arguments arguments;
  int c = 0;
  while ((c = getopt_long(argc, argv, "s:chV", options, nullptr)) != -1) {
    switch (c) {
    case 's':
      arguments.SettingsFile = optarg;
      break;
    case 'c':
      arguments.CheckOnly = true;
      break;
    case 'h':
      std::fputs(Help, stdout);
      return exitWith(ExitCode::Good);
    case 'V':
      std::puts("pimentofrontd 0.1.0");
      return exitWith(ExitCode::Good);
    default:
      return exitWith(ExitCode::Usage);
    }
  }
  if (arguments.SettingsFile.empty() || optind != argc) {
    std::fputs(Help, stderr);
    return exitWith(ExitCode::Usage);
  }
  std::ifstream file(arguments.SettingsFile);
  if (!file) {
    std::fprintf(stderr, "%s: cannot be read\n",
                 arguments.SettingsFile.c_str());
    return exitWith(ExitCode::Settings);
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const Settings settings =
      Settings::parse(arguments.SettingsFile, text.str(), findings);
  if (!findings.empty()) {
    std::fputs(findings.toText().c_str(), stderr);
    return exitWith(ExitCode::Settings);
  }
  if (arguments.CheckOnly) {
    std::puts("the settings are valid");
    return exitWith(ExitCode::Good);
  }
  Daemon daemon(settings);
  const ExitCode code = daemon.run();
  // Exits without destructors: persistent data is synced and all answers are
  // sent, but log4cplus would wait for its idle thread at exit, and a process
  // that hangs there would not be restarted.
  std::fflush(nullptr);
  std::_Exit(static_cast<int>(code));
}
