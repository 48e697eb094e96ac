#include "src/admin/json.h"

#include <algorithm>

namespace comfreystand::admin {
namespace {

constexpr int kMaxNestingDepth = 2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Json ToJson(const RuleError& error) {
  return {{"line", error.line},
          {"column", error.column},
          {"message", error.message},
          {"expected", error.expected},
          {"suggestion", error.suggestion}};
}

Json ToJson(const RegionStatus& region) {
  return {{"name", region.name},
          {"capacity_slots", region.capacity.value},
          {"busy_slots", region.busy.value},
          {"lookup_share", region.lookup_share.value},
          {"draining", region.draining}};
}

Json ToJson(const EntryVmStatus& vm) {
  return {{"name", vm.name},
          {"region", vm.region},
          {"domain", vm.domain},
          {"address", vm.address},
          {"state", std::string(ToString(vm.state))},
          {"rules_version", vm.rules.value},
          {"last_heard_seconds", Seconds(vm.heartbeat_age)}};
}

Json ToJson(const BackendGroupStatus& group) {
  return {{"service", group.service},   {"domain", group.domain},
          {"total", group.total},       {"live", group.live},
          {"leaving", group.leaving},   {"ejected", group.ejected},
          {"slots", group.slots.value}, {"busy_slots", group.busy.value}};
}

Json ToJson(const ChangeProgress& change) {
  return {{"from_version", change.from.value},
          {"to_version", change.to.value},
          {"accepted_at", change.accepted_at.value},
          {"progress", change.progress.value},
          {"moved", change.moved.value},
          {"cap", change.cap.value},
          {"at_cap", change.at_cap},
          {"halted", change.halted}};
}

Json ToJson(const HourStatus& hour) {
  Json json = {{"start", hour.start.value}};
  if (hour.availability.has_value()) {
    json["availability"] = hour.availability->value;
  } else {
    json["reason"] = hour.reason;
  }
  return json;
}

template <typename Item>
Json ToArray(const std::vector<Item>& items) {
  Json array = Json::array();
  for (const Item& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

}  // namespace

Json ToJson(const RuleDocument& document) {
  return {{"version", document.version.value},
          {"text", document.text},
          {"baseline_version", document.baseline_version.value},
          {"accepted_at", document.accepted_at.value},
          {"halted", document.halted}};
}

Json ToJson(const platform::AcceptResult& result) {
  return {{"status", std::string(platform::ToString(result.status))},
          {"version", result.version.value},
          {"diff", result.diff},
          {"errors", ToArray(result.errors)}};
}

Json ToJson(const AuditEntry& entry, bool with_diff) {
  Json json = {{"version", entry.version.value},
               {"from_version", entry.from_version.value},
               {"change_id", entry.change_id},
               {"proposed_by", entry.proposed_by},
               {"requested_by", entry.requested_by},
               {"when", entry.when.value}};
  if (with_diff) {
    json["diff"] = entry.diff;
  }
  return json;
}

Json ToJson(const StatusSnapshot& snapshot) {
  return {{"now", snapshot.now.value},
          {"cluster", snapshot.cluster},
          {"node", snapshot.node},
          {"region", snapshot.region},
          {"domain", snapshot.domain},
          {"ready", snapshot.ready},
          {"not_ready_reason", snapshot.not_ready_reason},
          {"rules_version", snapshot.rules.value},
          {"rules_age_seconds", Seconds(snapshot.rules_age)},
          {"damaged_documents", snapshot.invalid_documents},
          {"store_reachable", snapshot.store_reachable},
          {"regions", ToArray(snapshot.regions)},
          {"entry_vms", ToArray(snapshot.entry_vms)},
          {"backends", ToArray(snapshot.backends)},
          {"changes", ToArray(snapshot.changes)},
          {"hours", ToArray(snapshot.hours)}};
}

std::string Dump(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + '\n';
}

std::optional<Json> ParseObject(std::string_view text) {
  // Discards values that are nested too deeply while parsing.
  bool too_deep = false;
  const auto check = [&too_deep](int depth, Json::parse_event_t event, Json&) {
    too_deep = too_deep || depth > kMaxNestingDepth;
    return !too_deep;
  };
  Json json = Json::parse(text, check, /*allow_exceptions=*/false);
  if (too_deep || !json.is_object()) {
    return std::nullopt;
  }
  return json;
}

ChangeFields ReadChangeFields(const Json& json,
                              const std::string& token_holder,
                              std::optional<RuleVersion> default_version) {
  ChangeFields fields;
  fields.origin.proposed_by = token_holder;
  const auto version = json.find("expected_version");
  if (version != json.end() && version->is_number_unsigned()) {
    fields.origin.expected_version.value = version->get<uint64_t>();
  } else if (version == json.end() && default_version.has_value()) {
    fields.origin.expected_version = *default_version;
  } else {
    fields.error = "expected_version must be a whole number";
    return fields;
  }
  const auto change_id =
      ReadShortText(json, "change_id", limits::kMaxChangeIdBytes);
  const auto requested_by =
      ReadShortText(json, "requested_by", limits::kMaxNameBytes);
  if (!change_id.has_value() || !requested_by.has_value()) {
    fields.error = "change_id and requested_by must be short texts";
    return fields;
  }
  fields.origin.change_id = *change_id;
  fields.origin.requested_by = *requested_by;
  return fields;
}

std::optional<std::string> ReadShortText(const Json& json,
                                         const char* key,
                                         size_t max_bytes) {
  const auto found = json.find(key);
  if (found == json.end() || !found->is_string()) {
    return std::nullopt;
  }
  std::string text = found->get<std::string>();
  const bool printable = std::none_of(text.begin(), text.end(), [](char c) {
    return (c >= 0 && c < ' ') || c == 0x7f;
  });
  if (text.empty() || text.size() > max_bytes || !printable) {
    return std::nullopt;
  }
  return text;
}

}  // namespace comfreystand::admin
