#ifndef COMFREYSTAND_CLI_SETTINGS_REPORT_H_
#define COMFREYSTAND_CLI_SETTINGS_REPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "comfreystand/settings.h"

namespace comfreystand::cli {

// Prints one line per error of the settings file `path`.
void PrintSettingErrors(const std::string& path,
                        const std::vector<SettingError>& errors,
                        std::ostream& out);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_SETTINGS_REPORT_H_
