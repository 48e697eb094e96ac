#include <popt.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "soak/soak.h"

// Runs soaks over a range of seeds. Exits with 1 when an invariant was
// violated.
namespace {

using comfreystand::soak::RunSoak;
using comfreystand::soak::SoakOptions;
using comfreystand::soak::SoakResult;

void Print(const SoakOptions& soak_options, const SoakResult& result) {
  std::printf("seed %llu: %zu calls, %zu served, %zu refused, %zu faults, %s\n",
              static_cast<unsigned long long>(soak_options.seed), result.calls,
              result.served, result.refused, result.faults.size(),
              result.violations.empty() ? "no violations" : "VIOLATIONS");
  for (const std::string& violation : result.violations) {
    std::printf("  %s\n", violation.c_str());
  }
  if (!result.violations.empty()) {
    for (const std::string& fault : result.faults) {
      std::printf("  at %s\n", fault.c_str());
    }
    std::printf("  logs in %s\n", soak_options.folder.c_str());
  }
  std::fflush(stdout);
}

// Takes the value of a popt string option, which the caller must free; empty
// when the option was not given.
std::string TakeOption(char* option) {
  std::string text = option ? option : "";
  std::free(option);
  return text;
}

}  // namespace

int main(int argc, const char** argv) {
  int first = 1;
  int seeds = 1;
  int length = 8;
  int gateways = 3;
  char* program_option = nullptr;
  char* folder_option = nullptr;
  const std::array<poptOption, 8> options = {{
      {"first", 'f', POPT_ARG_INT, &first, 0, "first seed, default 1", "N"},
      {"seeds", 'n', POPT_ARG_INT, &seeds, 0, "number of seeds", "N"},
      {"length", 'l', POPT_ARG_INT, &length, 0, "seconds with faults", "N"},
      {"gateways", 'g', POPT_ARG_INT, &gateways, 0, "processes", "N"},
      {"program", 'p', POPT_ARG_STRING, static_cast<void*>(&program_option), 0,
       "path of comfreystand", "PATH"},
      {"folder", 'd', POPT_ARG_STRING, static_cast<void*>(&folder_option), 0,
       "where settings and logs are kept", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const std::string program = TakeOption(program_option);
  const std::string folder = TakeOption(folder_option);
  if (parsed != -1 || program.empty() || folder.empty() || seeds < 1 ||
      gateways < 1) {
    std::fprintf(stderr,
                 "comfreystand-soak: needs --program and --folder; see "
                 "--help\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int failed_seeds = 0;
  for (int i = 0; i < seeds; ++i) {
    SoakOptions soak_options;
    soak_options.seed = static_cast<uint64_t>(first) + static_cast<uint64_t>(i);
    soak_options.duration = std::chrono::seconds(length);
    soak_options.gateways = static_cast<size_t>(gateways);
    soak_options.program = program;
    soak_options.folder = folder + "/seed-" + std::to_string(soak_options.seed);
    std::filesystem::create_directories(soak_options.folder);
    const SoakResult result = RunSoak(soak_options);
    Print(soak_options, result);
    failed_seeds += result.violations.empty() ? 0 : 1;
  }
  std::printf("%d seeds, %d with violations\n", seeds, failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}
