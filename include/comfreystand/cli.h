#ifndef COMFREYSTAND_CLI_H_
#define COMFREYSTAND_CLI_H_

#include <iosfwd>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/units.h"

// The command line: a table of verbs, each with its options, help and code.
namespace comfreystand::cli {

constexpr std::string_view kVersion = "0.1.0";

// Exit codes of the process.
enum class ExitCode : int {
  kOk = 0,
  // The work failed; standard error says why.
  kFailed = 1,
  // The command line is wrong.
  kUsage = 2,
  // A rule file or settings file was refused.
  kInvalidInput = 3,
  // Another change was accepted first; nothing was changed.
  kConflict = 4,
  // The node or service could not be reached, or did not answer in time.
  kUnavailable = 5,
  // The administration API refused the token.
  kDenied = 6,
};

struct Option {
  std::string_view name;
  // Placeholder of the value; empty for a flag.
  std::string_view argument;
  std::string_view default_value;
  std::string_view doc;
};

struct Example {
  std::string_view command;
  std::string_view effect;
};

// Parsed command line of one verb: its arguments, options and output streams.
class Invocation {
 public:
  Invocation(std::vector<std::string> arguments,
             std::map<std::string, std::string, std::less<>> options,
             std::ostream& out,
             std::ostream& err);

  const std::vector<std::string>& Arguments() const { return arguments_; }

  // Value of an option, or its default; empty if it has neither.
  std::string GetOption(std::string_view option) const;

  // Whether a flag was given.
  bool HasFlag(std::string_view flag) const;

  // Value of an option that is a number with a unit, converted to the base unit
  // of `quantity`. Prints an error and returns nullopt if it can't be parsed.
  std::optional<double> GetQuantity(std::string_view option,
                                    Quantity quantity) const;

  // Whether the result is to be printed as JSON.
  bool WantsJson() const { return HasFlag("json"); }

  std::ostream& Out() const { return out_; }
  std::ostream& Err() const { return err_; }

 private:
  std::vector<std::string> arguments_;
  std::map<std::string, std::string, std::less<>> options_;
  std::ostream& out_;
  std::ostream& err_;
};

struct Verb {
  // One or two words, for example "rules check".
  std::string_view name;
  // Placeholders of the arguments, for example "FILE [VERSION]".
  std::string_view arguments;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  std::string_view summary;
  ExitCode (*run)(const Invocation& invocation) = nullptr;
  std::span<const Option> options;
  std::span<const Example> examples;
  // Whether the verb accepts --json.
  bool supports_json = false;
};

// Finds the verb that `arguments` (without the program name) start with and
// runs it. Also handles --help and --version, and prints usage errors.
ExitCode RunCommand(std::span<const Verb* const> verbs,
                    const std::vector<std::string>& arguments,
                    std::ostream& out,
                    std::ostream& err);

// Entry point of the program: calls RunCommand() with all verbs and the
// standard streams. Returns the exit code.
int Main(int argc, char** argv);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_H_
