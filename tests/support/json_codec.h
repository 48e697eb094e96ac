#ifndef COMFREYSTAND_TESTS_SUPPORT_JSON_CODEC_H_
#define COMFREYSTAND_TESTS_SUPPORT_JSON_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "comfreystand/acceptance.h"

namespace comfreystand::testing {

// Codec for tests that don't depend on the rule language. Documents are encoded
// as JSON, any text except "bad" is a valid rule file, and a difference shows
// both texts in full.
inline std::string EncodeJsonDocument(const RuleDocument& document) {
  nlohmann::json value{{"v", document.version.value},
                       {"t", document.text},
                       {"bv", document.baseline_version.value},
                       {"bt", document.baseline_text},
                       {"h", document.halted}};
  value["u"] = platform::EncodeAuditSegment(document.unconfirmed);
  return value.dump();
}

inline std::optional<RuleDocument> DecodeJsonDocument(std::string_view bytes) {
  const auto value = nlohmann::json::parse(bytes, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  RuleDocument document;
  document.version.value = value.value("v", uint64_t{0});
  document.text = value.value("t", "");
  document.baseline_version.value = value.value("bv", uint64_t{0});
  document.baseline_text = value.value("bt", "");
  document.halted = value.value("h", false);
  platform::DecodeAuditSegment(value.value("u", "[]"), &document.unconfirmed);
  return document;
}

inline RuleParseResult ParseTestRules(std::string_view text) {
  RuleParseResult result;
  if (text == "bad") {
    result.errors.push_back({1, 1, "unknown word", "a rule", ""});
  }
  return result;
}

inline std::string DiffTestRules(std::string_view before,
                                 std::string_view after) {
  return "-" + std::string(before) + "\n+" + std::string(after) + "\n";
}

inline platform::DocumentCodec JsonDocumentCodec() {
  platform::DocumentCodec codec;
  codec.encode = &EncodeJsonDocument;
  codec.decode = &DecodeJsonDocument;
  codec.parse = &ParseTestRules;
  codec.diff = &DiffTestRules;
  return codec;
}

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_JSON_CODEC_H_
