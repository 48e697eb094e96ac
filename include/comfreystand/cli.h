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

// What a verb is run with.
class Invocation {
 public:
  Invocation(std::vector<std::string> arguments,
             std::map<std::string, std::string, std::less<>> options,
             std::ostream& out,
             std::ostream& err);

  const std::vector<std::string>& Arguments() const { return arguments_; }

  // Value of an option or its default; empty when it has neither.
  std::string Get(std::string_view option) const;

  // Whether a flag was given.
  bool Has(std::string_view flag) const;

  // Value of an option as a number with its unit. Prints the fault and returns
  // nothing when it isn't one.
  std::optional<double> GetQuantity(std::string_view option,
                                    Quantity quantity) const;

  // Whether results are to be printed as JSON.
  bool Json() const { return Has("json"); }

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
  // Offers --json.
  bool json = false;
};

// Runs the verb that `arguments` (without the program's name) select from
// `verbs`. Prints help, version and usage errors itself.
ExitCode RunCommand(std::span<const Verb* const> verbs,
                    const std::vector<std::string>& arguments,
                    std::ostream& out,
                    std::ostream& err);

// The program: RunCommand() over all verbs on the standard streams.
int Main(int argc, char** argv);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_H_
