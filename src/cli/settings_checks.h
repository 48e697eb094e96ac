#ifndef COMFREYSTAND_CLI_SETTINGS_CHECKS_H_
#define COMFREYSTAND_CLI_SETTINGS_CHECKS_H_

#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/settings.h"

// Checks of settings against one another.
namespace comfreystand::cli {

// A clash, reported at the line of `key`.
struct Clash {
  std::string section;
  std::string key;
  std::string message;
  std::string expected;
};

std::vector<Clash> FindClashes(const NodeSettings& settings);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_SETTINGS_CHECKS_H_
