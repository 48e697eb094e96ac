#ifndef COMFREYSTAND_CLI_FILES_H_
#define COMFREYSTAND_CLI_FILES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "comfreystand/cli.h"

namespace comfreystand::cli {

// Reads a whole file of at most `max_bytes`. Prints the fault and returns
// nothing when it can't be read or is longer.
std::optional<std::string> ReadFile(const std::string& path,
                                    size_t max_bytes,
                                    const Invocation& invocation);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_FILES_H_
