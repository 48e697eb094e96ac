#include <popt.h>

#include <algorithm>
#include <array>
#include <memory>
#include <ostream>

#include "comfreystand/cli.h"
#include "src/cli/help.h"

namespace comfreystand::cli {
namespace {

// Codes that popt returns for the options; those of the verb follow in order.
constexpr int kJsonOptionCode = 1;
constexpr int kHelpOptionCode = 2;
constexpr int kFirstVerbOptionCode = 3;

using Arguments = std::vector<std::string>;
using Options = std::map<std::string, std::string, std::less<>>;

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptPtr = std::unique_ptr<poptContext_s, PoptDeleter>;

// Parses the options and arguments of one verb with popt.
class OptionParser {
 public:
  explicit OptionParser(const Verb& verb) : verb_(verb) {
    if (verb.supports_json) {
      AddOption("json", "", kJsonOptionCode);
    }
    AddOption("help", "", kHelpOptionCode);
    for (size_t i = 0; i < verb.options.size(); ++i) {
      AddOption(verb.options[i].name, verb.options[i].argument,
                kFirstVerbOptionCode + static_cast<int>(i));
    }
    popt_table_.push_back({});
  }

  // Parses `words` into options and arguments. Prints an error and returns
  // false if that fails.
  bool Parse(const Arguments& words, std::ostream& err) {
    std::vector<const char*> argv = {"comfreystand"};
    for (const std::string& word : words) {
      argv.push_back(word.c_str());
    }
    argv.push_back(nullptr);
    const PoptPtr context(poptGetContext("comfreystand",
                                         static_cast<int>(argv.size()) - 1,
                                         argv.data(), popt_table_.data(), 0));
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
      StoreOption(code, poptGetOptArg(context.get()));
    }
    if (code < -1) {
      PrintError(code, poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 err);
      return false;
    }
    for (const char** rest = poptGetArgs(context.get());
         rest != nullptr && *rest != nullptr; ++rest) {
      arguments_.emplace_back(*rest);
    }
    return true;
  }

  Options TakeOptions() { return std::move(options_); }
  Arguments TakeArguments() { return std::move(arguments_); }

 private:
  void AddOption(std::string_view name, std::string_view argument, int code) {
    // Option names are string literals, so data() is null-terminated.
    const auto type = argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
    popt_table_.push_back(
        {name.data(), '\0', type, nullptr, code, nullptr, nullptr});
  }

  void StoreOption(int code, char* value) {
    const std::string text = value == nullptr ? "" : value;
    std::free(value);
    if (code == kJsonOptionCode) {
      options_["json"] = "";
    } else if (code == kHelpOptionCode) {
      options_["help"] = "";
    } else {
      const auto index = static_cast<size_t>(code - kFirstVerbOptionCode);
      options_[std::string(verb_.options[index].name)] = text;
    }
  }

  void PrintError(int code, const char* bad_option, std::ostream& err) const {
    std::vector<std::string> names;
    for (const poptOption& popt_option : popt_table_) {
      if (popt_option.longName != nullptr) {
        names.push_back("--" + std::string(popt_option.longName));
      }
    }
    const std::vector<std::string_view> candidates(names.begin(), names.end());
    err << "comfreystand " << verb_.name << ": " << bad_option << ": "
        << poptStrerror(code);
    const std::string_view nearest = NearestWord(bad_option, candidates);
    if (code == POPT_ERROR_BADOPT && !nearest.empty()) {
      err << "; did you mean " << nearest << '?';
    }
    err << '\n';
  }

  const Verb& verb_;
  std::vector<poptOption> popt_table_;
  Options options_;
  Arguments arguments_;
};

Arguments SplitWords(std::string_view name) {
  Arguments words;
  while (!name.empty()) {
    const size_t end = std::min(name.find(' '), name.size());
    words.emplace_back(name.substr(0, end));
    name.remove_prefix(std::min(end + 1, name.size()));
  }
  return words;
}

bool StartsWith(const Arguments& arguments, const Arguments& words) {
  return arguments.size() >= words.size() &&
         std::equal(words.begin(), words.end(), arguments.begin());
}

const Verb* FindVerb(std::span<const Verb* const> verbs,
                     const Arguments& arguments) {
  for (const Verb* verb : verbs) {
    if (StartsWith(arguments, SplitWords(verb->name))) {
      return verb;
    }
  }
  return nullptr;
}

ExitCode ReportUnknownVerb(std::span<const Verb* const> verbs,
                           const Arguments& arguments,
                           std::ostream& err) {
  std::string words;
  for (size_t i = 0; i < std::min<size_t>(arguments.size(), 2); ++i) {
    if (!arguments[i].starts_with('-')) {
      words += (words.empty() ? "" : " ") + arguments[i];
    }
  }
  std::vector<std::string_view> names;
  for (const Verb* verb : verbs) {
    names.push_back(verb->name);
  }
  err << "comfreystand: unknown command \"" << words << '"';
  const std::string_view nearest = NearestWord(words, names);
  if (!nearest.empty()) {
    err << "; did you mean \"" << nearest << "\"?";
  }
  err << "\nTry comfreystand --help.\n";
  return ExitCode::kUsage;
}

ExitCode RunVerb(const Verb& verb,
                 const Arguments& words,
                 std::ostream& out,
                 std::ostream& err) {
  OptionParser parser(verb);
  if (!parser.Parse(words, err)) {
    return ExitCode::kUsage;
  }
  Options options = parser.TakeOptions();
  if (options.contains("help")) {
    PrintVerbHelp(verb, out);
    return ExitCode::kOk;
  }
  for (const Option& option : verb.options) {
    if (!option.default_value.empty()) {
      options.emplace(option.name, option.default_value);
    }
  }
  Arguments arguments = parser.TakeArguments();
  if (arguments.size() < verb.min_arguments ||
      arguments.size() > verb.max_arguments) {
    err << "comfreystand " << verb.name << ": expected "
        << (verb.arguments.empty() ? "no arguments" : verb.arguments) << '\n';
    return ExitCode::kUsage;
  }
  return verb.run(
      Invocation(std::move(arguments), std::move(options), out, err));
}

}  // namespace

Invocation::Invocation(std::vector<std::string> arguments,
                       std::map<std::string, std::string, std::less<>> options,
                       std::ostream& out,
                       std::ostream& err)
    : arguments_(std::move(arguments)),
      options_(std::move(options)),
      out_(out),
      err_(err) {}

std::string Invocation::GetOption(std::string_view option) const {
  const auto found = options_.find(option);
  return found == options_.end() ? "" : found->second;
}

bool Invocation::HasFlag(std::string_view flag) const {
  return options_.find(flag) != options_.end();
}

std::optional<double> Invocation::GetQuantity(std::string_view option,
                                              Quantity quantity) const {
  const std::string text = GetOption(option);
  const ParsedQuantity parsed = ParseQuantity(quantity, text);
  if (parsed.fault == QuantityFault::kNone) {
    return parsed.value;
  }
  err_ << "--" << option << ": \"" << text << "\" "
       << DescribeFault(parsed.fault) << "; expected "
       << DescribeQuantity(quantity) << '\n';
  return std::nullopt;
}

ExitCode RunCommand(std::span<const Verb* const> verbs,
                    const std::vector<std::string>& arguments,
                    std::ostream& out,
                    std::ostream& err) {
  if (arguments.empty()) {
    PrintHelp(verbs, "", err);
    return ExitCode::kUsage;
  }
  if (arguments[0] == "--version") {
    out << "comfreystand " << kVersion << '\n';
    return ExitCode::kOk;
  }
  if (arguments[0] == "--help") {
    PrintHelp(verbs, "", out);
    return ExitCode::kOk;
  }
  const Verb* verb = FindVerb(verbs, arguments);
  if (verb != nullptr) {
    const auto rest = static_cast<long>(SplitWords(verb->name).size());
    return RunVerb(*verb, {arguments.begin() + rest, arguments.end()}, out,
                   err);
  }
  if (arguments.size() == 2 && arguments[1] == "--help" &&
      PrintHelp(verbs, arguments[0], out)) {
    return ExitCode::kOk;
  }
  return ReportUnknownVerb(verbs, arguments, err);
}

}  // namespace comfreystand::cli
