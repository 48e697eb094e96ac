#include "src/cli/files.h"

#include <cerrno>
#include <fstream>
#include <ostream>
#include <system_error>

namespace comfreystand::cli {

std::optional<std::string> ReadFile(const std::string& path,
                                    size_t max_bytes,
                                    const Invocation& invocation) {
  std::ifstream in(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  // A short read without eof means that the file could not be opened or read.
  if (text.size() <= max_bytes && !in.eof()) {
    invocation.Err() << path << ": can't be read: "
                     << std::generic_category().message(errno) << '\n';
    return std::nullopt;
  }
  if (text.size() > max_bytes) {
    invocation.Err() << path << ": longer than " << max_bytes << " bytes\n";
    return std::nullopt;
  }
  return text;
}

}  // namespace comfreystand::cli
