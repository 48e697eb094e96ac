#ifndef COMFREYSTAND_ADMIN_JSON_H_
#define COMFREYSTAND_ADMIN_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "comfreystand/acceptance.h"
#include "comfreystand/admin.h"
#include "comfreystand/rules.h"
#include "comfreystand/status.h"

// JSON forms of the administration API.
namespace comfreystand::admin {

using Json = nlohmann::ordered_json;

Json ToJson(const RuleDocument& document);
Json ToJson(const platform::AcceptResult& result);
Json ToJson(const AuditEntry& entry, bool with_diff);
Json ToJson(const StatusSnapshot& snapshot);

// Prints JSON; bytes that are not UTF-8 are replaced.
std::string Dump(const Json& json);

// Parses an object. Returns nothing for anything else, also when it is nested
// deeper than the API's objects are.
std::optional<Json> ParseObject(std::string_view text);

// Fields that every change carries.
struct ChangeFields {
  platform::ChangeOrigin origin;
  std::string fault;
};

// Reads them from a request's body; `fault` says what is wrong, if anything.
// The expected version may be left out when there is a default for it.
ChangeFields ReadChangeFields(
    const Json& json,
    const std::string& holder,
    std::optional<RuleVersion> default_version = std::nullopt);

// A string member of at most `max_bytes` printable bytes, or nothing.
std::optional<std::string> ReadLineOf(const Json& json,
                                      const char* key,
                                      size_t max_bytes);

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_ADMIN_JSON_H_
