#ifndef COMFREYSTAND_CLI_HELP_H_
#define COMFREYSTAND_CLI_HELP_H_

#include <iosfwd>
#include <span>
#include <string_view>

#include "comfreystand/cli.h"

namespace comfreystand::cli {

// Prints an overview of all verbs, or of those whose first word is `group`.
// Returns false if there are none.
bool PrintHelp(std::span<const Verb* const> verbs,
               std::string_view group,
               std::ostream& out);

// Prints the usage, options and examples of one verb.
void PrintVerbHelp(const Verb& verb, std::ostream& out);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_HELP_H_
