#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <charconv>
#include <sstream>
#include <string>
#include <vector>

#include "comfreystand/limits.h"
#include "comfreystand/rules.h"

namespace comfreystand {
namespace {

constexpr std::string_view kRuleText =
    "region r # asked by ops: first\n"
    "domain d in r entry-vms 1 # asked by ops: place\n"
    "site s in d weight 1 # asked by ops: answers\n";

RuleDocument MakeDocument() {
  RuleDocument document;
  document.version.value = 7;
  document.text = kRuleText;
  document.baseline_version.value = 6;
  document.baseline_text = std::string(kRuleText) + "# settled\n";
  document.accepted_at.value = 1'700'000'000;
  document.halted = true;
  document.unconfirmed.push_back({RuleVersion{7}, RuleVersion{6}, "id-1",
                                  "kavi", "temple \xff desk",
                                  WallSeconds{1'699'999'999}, "-# settled\n"});
  return document;
}

// Checks a property with a fixed seed. Returns whether it held.
template <typename Property>
bool PropertyHolds(const char* name, Property property) {
  rc::detail::TestParams params;
  params.seed = 20;
  params.maxSuccess = 300;
  params.disableShrinking = false;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  const auto result = rc::detail::checkTestable(property, metadata, params);
  const bool passed = result.template is<rc::detail::SuccessResult>();
  if (!passed) {
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    MESSAGE(message.str());
  }
  return passed;
}

// Removes the next line with its line end from `text` and returns it.
std::string ConsumeLine(std::string_view* text) {
  const size_t end = text->find('\n');
  const size_t length = end == std::string_view::npos ? text->size() : end + 1;
  std::string line(text->substr(0, length));
  text->remove_prefix(length);
  return line;
}

// Returns the number of lines before a hunk with the header
// "@@ -FIRST,COUNT ...".
size_t LinesBeforeHunk(std::string_view header) {
  header.remove_prefix(std::string_view("@@ -").size());
  size_t first = 0;
  size_t count = 0;
  const auto end =
      std::from_chars(header.data(), header.data() + header.size(), first);
  std::from_chars(end.ptr + 1, header.data() + header.size(), count);
  return count == 0 ? first : first - 1;
}

// Applies a unified difference. Returns "mismatch" when it doesn't match
// `before`.
std::string ApplyDiff(std::string_view before, std::string_view diff) {
  std::string after;
  size_t lines_read = 0;
  ConsumeLine(&diff);
  ConsumeLine(&diff);
  while (!diff.empty()) {
    std::string line = ConsumeLine(&diff);
    if (line.starts_with("@@ ")) {
      for (; lines_read < LinesBeforeHunk(line); ++lines_read) {
        after += ConsumeLine(&before);
      }
      continue;
    }
    if (diff.starts_with("\\")) {
      ConsumeLine(&diff);
      line.pop_back();
    }
    if (line[0] != '+') {
      ++lines_read;
      if (ConsumeLine(&before) != line.substr(1)) {
        return "mismatch";
      }
    }
    if (line[0] != '-') {
      after += line.substr(1);
    }
  }
  return after + std::string(before);
}

// Generates texts from a few different lines, so that two texts have many lines
// in common.
rc::Gen<std::string> TextGen() {
  return rc::gen::map(
      rc::gen::pair(
          rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6)),
          rc::gen::arbitrary<bool>()),
      [](const std::pair<std::vector<int>, bool>& generated) {
        std::string text;
        for (int line : generated.first) {
          text += std::string(static_cast<size_t>(line), 'x') + '\n';
        }
        if (generated.second && !text.empty()) {
          text.pop_back();
        }
        return text;
      });
}

TEST_CASE("a rule document") {
  const RuleDocument document = MakeDocument();
  const std::string bytes = EncodeRuleDocument(document);
  SUBCASE("is unchanged by encoding and decoding") {
    const auto decoded = DecodeRuleDocument(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded->version == document.version);
    CHECK(decoded->text == document.text);
    CHECK(decoded->baseline_version == document.baseline_version);
    CHECK(decoded->baseline_text == document.baseline_text);
    CHECK(decoded->accepted_at == document.accepted_at);
    CHECK(decoded->halted);
    REQUIRE(decoded->unconfirmed.size() == 1);
    const AuditEntry& entry = decoded->unconfirmed[0];
    CHECK(entry.version == RuleVersion{7});
    CHECK(entry.from_version == RuleVersion{6});
    CHECK(entry.change_id == "id-1");
    CHECK(entry.proposed_by == "kavi");
    CHECK(entry.requested_by == "temple \xff desk");
    CHECK(entry.when == WallSeconds{1'699'999'999});
    CHECK(entry.diff == "-# settled\n");
  }
  SUBCASE("of the first rule file has an empty baseline") {
    RuleDocument first = document;
    first.baseline_version.value = 0;
    first.baseline_text = "";
    CHECK(DecodeRuleDocument(EncodeRuleDocument(first)).has_value());
  }
  SUBCASE("is refused when any byte is changed") {
    for (size_t i = 0; i < bytes.size(); ++i) {
      std::string damaged = bytes;
      damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
      CAPTURE(i);
      CHECK_FALSE(DecodeRuleDocument(damaged).has_value());
    }
  }
  SUBCASE("is refused when truncated or extended") {
    for (size_t length = 0; length < bytes.size(); ++length) {
      CHECK_FALSE(DecodeRuleDocument(bytes.substr(0, length)).has_value());
    }
    CHECK_FALSE(DecodeRuleDocument(bytes + "x").has_value());
  }
  SUBCASE("is refused when it is larger than a store value") {
    RuleDocument large = document;
    large.unconfirmed[0].diff.assign(limits::kMaxStoreValueBytes, 'x');
    CHECK_FALSE(DecodeRuleDocument(EncodeRuleDocument(large)).has_value());
  }
  SUBCASE("is refused when a text does not parse") {
    RuleDocument broken = document;
    SUBCASE("of the current file") {
      broken.text += "regoin x\n";
    }
    SUBCASE("of the baseline") {
      broken.baseline_text = "junk";
    }
    SUBCASE("of version zero") {
      broken.baseline_version.value = 0;
    }
    CHECK_FALSE(DecodeRuleDocument(EncodeRuleDocument(broken)).has_value());
  }
  SUBCASE("keeps any audit entry unchanged") {
    CHECK(PropertyHolds("audit entries", [&document](const std::string& text,
                                                     uint64_t version,
                                                     int64_t when) {
      RuleDocument changed = document;
      changed.unconfirmed.push_back({RuleVersion{version}, RuleVersion{0}, text,
                                     text, text, WallSeconds{when}, text});
      const auto decoded = DecodeRuleDocument(EncodeRuleDocument(changed));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded->unconfirmed.size() == 2U);
      RC_ASSERT(decoded->unconfirmed[1].diff == text);
      RC_ASSERT(decoded->unconfirmed[1].version.value == version);
      RC_ASSERT(decoded->unconfirmed[1].when.value == when);
    }));
  }
}

TEST_CASE("the line difference of two texts") {
  SUBCASE("is empty for equal texts") {
    CHECK(DiffRules(kRuleText, kRuleText).empty());
  }
  SUBCASE("is in unified format with context") {
    CHECK(DiffRules("1\n2\n3\n4\n5\n6\n7\n8\n9\n",
                    "1\n2\n3\n4\nfive\n6\n7\n8\n9\n") ==
          "--- before\n+++ after\n@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n "
          "7\n 8\n");
  }
  SUBCASE("from an empty text adds all lines") {
    CHECK(DiffRules("", "a\nb\n") ==
          "--- before\n+++ after\n@@ -0,0 +1,2 @@\n+a\n+b\n");
  }
  SUBCASE("shows a missing line end at the end") {
    CHECK(
        DiffRules("a\n", "a") ==
        "--- before\n+++ after\n@@ -1,1 +1,1 @@\n-a\n+a\n\\ No newline at end "
        "of file\n");
  }
  SUBCASE("has separate hunks for distant changes") {
    std::string before;
    for (int i = 0; i < 30; ++i) {
      before += std::to_string(i) + '\n';
    }
    std::string after = "first\n" + before + "last\n";
    const std::string diff = DiffRules(before, after);
    CHECK(diff.find("@@ -1,3 +1,4 @@") != std::string::npos);
    CHECK(diff.find("@@ -28,3 +29,4 @@") != std::string::npos);
    CHECK(ApplyDiff(before, diff) == after);
  }
  SUBCASE("turns the first text into the second when applied") {
    CHECK(PropertyHolds("diff applies", [] {
      const std::string before = *TextGen();
      const std::string after = *TextGen();
      RC_PRE(before != after);
      RC_ASSERT(ApplyDiff(before, DiffRules(before, after)) == after);
    }));
  }
  SUBCASE("applies to texts that differ in more lines than the search allows") {
    std::string before;
    std::string after;
    for (int i = 0; i < 3'000; ++i) {
      before += "b" + std::to_string(i) + '\n';
      after += "a" + std::to_string(i) + '\n';
    }
    CHECK(ApplyDiff(before, DiffRules(before, after)) == after);
  }
}

}  // namespace
}  // namespace comfreystand
