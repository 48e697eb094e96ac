#include <array>
#include <fstream>
#include <iostream>
#include <ostream>

#include "src/cli/explain.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

constexpr size_t kMaxLogFiles = 600;

ExitCode RunExplain(const Invocation& invocation) {
  const std::vector<std::string>& arguments = invocation.Arguments();
  const std::string& id = arguments[0];
  std::vector<LogLine> lines;
  if (arguments.size() == 1) {
    ReadLogLines(std::cin, "stdin", &lines);
  }
  for (size_t i = 1; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      invocation.Err() << "comfreystand: can't read " << arguments[i] << '\n';
      return ExitCode::kFailed;
    }
    ReadLogLines(file, arguments[i], &lines);
  }
  const Explanation explanation = Explain(lines, id);
  if (invocation.WantsJson()) {
    invocation.Out() << ExplanationToJson(explanation, id).dump(2) << '\n';
  } else {
    invocation.Out() << FormatExplanation(explanation, id);
  }
  return explanation.request_lines.empty() ? ExitCode::kFailed : ExitCode::kOk;
}

constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand explain 9c41d07be2a35f68 node-*.log",
      "Explains the result of a request from the logs of several nodes."}}};

}  // namespace

constexpr Verb kExplainVerb = {
    .name = "explain",
    .arguments = "REQUEST-ID [FILE...]",
    .min_arguments = 1,
    .max_arguments = kMaxLogFiles,
    .summary = "Explain the result of a request from the logs of nodes.",
    .run = &RunExplain,
    .examples = kExamples,
    .supports_json = true};

}  // namespace comfreystand::cli
