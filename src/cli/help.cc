#include "src/cli/help.h"

#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace comfreystand::cli {
namespace {

// Width of the first column, in characters.
constexpr size_t kNameColumns = 34;

// Indexed by ExitCode.
constexpr std::array<std::string_view, 7> kExitCodeMeanings = {
    "done",
    "the work failed",
    "the command line is wrong",
    "a rule file or settings file was refused",
    "another change was accepted first",
    "a node or service could not be reached",
    "the token was refused"};

void PrintRow(std::string name, std::string_view text, std::ostream& out) {
  name.resize(std::max(kNameColumns, name.size() + 2), ' ');
  out << "  " << name << text << '\n';
}

std::string UsageLine(const Verb& verb) {
  std::string usage(verb.name);
  if (!verb.arguments.empty()) {
    usage += ' ' + std::string(verb.arguments);
  }
  return usage;
}

bool IsInGroup(const Verb& verb, std::string_view group) {
  return group.empty() || (verb.name.starts_with(group) &&
                           verb.name.substr(group.size()).starts_with(' '));
}

void PrintOption(const Option& option, std::ostream& out) {
  std::string name = "--" + std::string(option.name);
  if (!option.argument.empty()) {
    name += '=' + std::string(option.argument);
  }
  std::string text(option.doc);
  if (!option.default_value.empty()) {
    text += " (default " + std::string(option.default_value) + ')';
  }
  PrintRow(std::move(name), text, out);
}

}  // namespace

bool PrintHelp(std::span<const Verb* const> verbs,
               std::string_view group,
               std::ostream& out) {
  std::vector<const Verb*> listed;
  for (const Verb* verb : verbs) {
    if (IsInGroup(*verb, group)) {
      listed.push_back(verb);
    }
  }
  if (listed.empty()) {
    return false;
  }
  out << "Usage: comfreystand COMMAND [OPTION...]\n\nCommands:\n";
  for (const Verb* verb : listed) {
    PrintRow(UsageLine(*verb), verb->summary, out);
  }
  out << "\nOptions:\n";
  PrintRow("--help", "show this help, or that of a command", out);
  PrintRow("--version", "show the version", out);
  out << "\nExamples:\n";
  for (const Verb* verb : listed) {
    if (!verb->examples.empty()) {
      out << "  " << verb->examples.front().command << '\n';
    }
  }
  out << "\nExit codes:\n";
  for (size_t i = 0; i < kExitCodeMeanings.size(); ++i) {
    out << "  " << i << "  " << kExitCodeMeanings[i] << '\n';
  }
  return true;
}

void PrintVerbHelp(const Verb& verb, std::ostream& out) {
  out << "Usage: comfreystand " << UsageLine(verb) << " [OPTION...]\n\n"
      << verb.summary << "\n\nOptions:\n";
  for (const Option& option : verb.options) {
    PrintOption(option, out);
  }
  if (verb.supports_json) {
    PrintRow("--json", "print the result as JSON", out);
  }
  PrintRow("--help", "show this help", out);
  if (verb.examples.empty()) {
    return;
  }
  out << "\nExamples:\n";
  for (const Example& example : verb.examples) {
    out << "  " << example.command << "\n      " << example.effect << '\n';
  }
}

}  // namespace comfreystand::cli
