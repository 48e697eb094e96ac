#ifndef COMFREYSTAND_SRC_ADMIN_JSON_H_
#define COMFREYSTAND_SRC_ADMIN_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "comfreystand/acceptance.h"
#include "comfreystand/admin.h"
#include "comfreystand/rules.h"
#include "comfreystand/status.h"

// JSON conversions of the administration API.
namespace comfreystand::admin {

using Json = nlohmann::ordered_json;

Json ToJson(const RuleDocument& document);
Json ToJson(const platform::AcceptResult& result);
Json ToJson(const AuditEntry& entry, bool with_diff);
Json ToJson(const StatusSnapshot& snapshot);

// Serializes JSON. Replaces invalid UTF-8.
std::string Dump(const Json& json);

// Parses a JSON object. Returns nothing for invalid JSON, other values, and
// objects nested deeper than any request of the API.
std::optional<Json> ParseObject(std::string_view text);

// Fields that are common to all change requests.
struct ChangeFields {
  platform::ChangeOrigin origin;
  // Empty when all fields were valid.
  std::string error;
};

// Reads the common fields from a request body. The expected version is optional
// when `default_version` is given.
ChangeFields ReadChangeFields(
    const Json& json,
    const std::string& token_holder,
    std::optional<RuleVersion> default_version = std::nullopt);

// Returns a non-empty string member of at most `max_bytes` bytes without
// control characters, or nothing.
std::optional<std::string> ReadShortText(const Json& json,
                                         const char* key,
                                         size_t max_bytes);

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_SRC_ADMIN_JSON_H_
