#ifndef COMFREYSTAND_CLI_FILES_H_
#define COMFREYSTAND_CLI_FILES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "comfreystand/cli.h"

namespace comfreystand::cli {

// Reads a whole file. Prints an error and returns nullopt if it can't be read
// or is longer than `max_bytes`.
std::optional<std::string> ReadFile(const std::string& path,
                                    size_t max_bytes,
                                    const Invocation& invocation);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_FILES_H_
