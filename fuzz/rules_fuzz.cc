#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <string>
#include <string_view>

#include "comfreystand/rules.h"

namespace {

// Prepends a header with the right checksum, so that decoding gets as far as
// the body.
std::string WithHeader(std::string_view body) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH3_64bits(body.data(), body.size()));
  std::string bytes = "CFSR\x01";
  bytes.append(std::begin(canonical.digest), std::end(canonical.digest));
  return bytes.append(body);
}

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

}  // namespace

// Any text yields either rules, or errors with a position and a message;
// decoding any bytes as a rule document does not crash; and the difference of
// two texts is empty exactly if they are equal.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const comfreystand::RuleParseResult result = comfreystand::ParseRules(text);
  Require(result.rules.has_value() == result.errors.empty());
  for (const comfreystand::RuleError& error : result.errors) {
    Require(error.line >= 1 && error.column >= 1);
    Require(!error.message.empty() && !error.expected.empty());
  }
  comfreystand::DecodeRuleDocument(text);
  comfreystand::DecodeRuleDocument(WithHeader(text));
  const std::string_view half = text.substr(0, size / 2);
  Require(comfreystand::DiffRules(half, text).empty() == (half == text));
  return 0;
}
