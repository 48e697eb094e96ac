#ifndef COMFREYSTAND_CLI_HELP_H_
#define COMFREYSTAND_CLI_HELP_H_

#include <iosfwd>
#include <span>
#include <string_view>

#include "comfreystand/cli.h"

namespace comfreystand::cli {

// Prints the overview of all verbs, or of those that start with the word
// `group`. Returns false when there are none.
bool PrintHelp(std::span<const Verb* const> verbs,
               std::string_view group,
               std::ostream& out);

// Prints one verb's usage, options and examples.
void PrintVerbHelp(const Verb& verb, std::ostream& out);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_HELP_H_
