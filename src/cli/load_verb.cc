#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "comfreystand/load.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

constexpr char kClassOption[] = "class";

// Converts the option table of the load library to verb options.
std::vector<Option> BuildVerbOptions() {
  std::vector<Option> options;
  for (const load::OptionSpec& spec : load::OptionTable())
    options.push_back({spec.name, spec.argument, "", spec.help});
  return options;
}

const std::vector<Option>& VerbOptions() {
  static const std::vector<Option> options = BuildVerbOptions();
  return options;
}

// Sets every class of a comma-separated list. Returns false if one is invalid.
bool SetClasses(const load::OptionSpec& spec,
                const std::string& text,
                load::Options* options) {
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    const std::string traffic_class = text.substr(begin, end - begin);
    if (!spec.set(traffic_class, options))
      return false;
    begin = end + 1;
  }
  return true;
}

bool SetOption(const load::OptionSpec& spec,
               const std::string& text,
               load::Options* options) {
  return spec.name == std::string_view(kClassOption)
             ? SetClasses(spec, text, options)
             : spec.set(text, options);
}

bool StderrIsTerminal() {
  return isatty(STDERR_FILENO) == 1;
}

// Returns a callback that shows the progress on one line of the terminal, or an
// empty one if standard error is not a terminal.
std::function<void(const load::Progress&)> ProgressPrinter() {
  if (!StderrIsTerminal())
    return {};
  return [](const load::Progress& progress) {
    std::fprintf(stderr, "\r%4.0f s  %llu sent  %llu answered",
                 std::chrono::duration<double>(progress.elapsed).count(),
                 static_cast<unsigned long long>(progress.sent),
                 static_cast<unsigned long long>(progress.answered));
  };
}

void ClearProgress() {
  if (StderrIsTerminal())
    std::fprintf(stderr, "\r\033[K");
}

ExitCode RunLoad(const Invocation& invocation) {
  load::Options options;
  for (const load::OptionSpec& spec : load::OptionTable()) {
    const std::string text = invocation.GetOption(spec.name);
    if (text.empty())
      continue;
    if (!SetOption(spec, text, &options)) {
      invocation.Err() << "comfreystand: --" << spec.name
                       << ": bad value; expected " << spec.argument << '\n';
      return ExitCode::kUsage;
    }
  }
  if (options.entry_vms.empty() || options.service.empty()) {
    invocation.Err() << "comfreystand: --entry-vm and --service are required\n";
    return ExitCode::kUsage;
  }
  const load::Result result = load::Run(options, ProgressPrinter());
  ClearProgress();
  invocation.Out() << (invocation.WantsJson() ? load::ToJson(result) + "\n"
                                              : load::ToTable(result));
  const bool checks_passed = result.mixed_answers == 0 &&
                             result.duplicate_runs == 0 &&
                             result.false_not_run == 0;
  return checks_passed ? ExitCode::kOk : ExitCode::kFailed;
}

constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand load --entry-vm 10.10.1.11:8080 --service bay-desk "
      "--rate 200 --seconds 10 --class short:9:2,report:1:200",
      "Sends 200 calls a second, a tenth of them long."}}};

}  // namespace

const Verb kLoadVerb = {
    .name = "load",
    .summary = "Send open-loop load and check every answer.",
    .run = &RunLoad,
    .options = VerbOptions(),
    .examples = kExamples,
    .supports_json = true};

}  // namespace comfreystand::cli
