#include "src/rules/forms.h"

#include <algorithm>
#include <array>
#include <string>

#include "comfreystand/limits.h"

namespace comfreystand::rules {
namespace {

constexpr double kMicrosPerSecond = 1e6;

constexpr Field NewName(std::string_view meaning) {
  return {"", FieldKind::kNewName, meaning, Quantity::kCount, 0, 0, false};
}

constexpr Field Reference(std::string_view keyword, std::string_view meaning) {
  return {keyword, FieldKind::kReference, meaning, Quantity::kCount, 0, 0,
          false};
}

constexpr Field Number(std::string_view keyword,
                       std::string_view meaning,
                       Quantity quantity,
                       double min,
                       double max) {
  return {keyword, FieldKind::kQuantity, meaning, quantity, min, max, false};
}

constexpr Field Optional(Field field) {
  field.optional = true;
  return field;
}

constexpr std::array<Field, 1> kRegionFields = {NewName("a region name")};
constexpr std::array<Field, 3> kDomainFields = {
    NewName("a failure domain name"), Reference("in", "a region"),
    Number("entry-vms",
           "the number of entry VMs",
           Quantity::kCount,
           0,
           limits::kMaxEntryVmsPerDomain)};
constexpr std::array<Field, 3> kSiteFields = {
    NewName("a site name"), Reference("in", "a failure domain"),
    Number("weight", "the weight", Quantity::kNumber, 0.001, 1e6)};
constexpr std::array<Field, 6> kServiceFields = {
    NewName("a service name"),
    Number("slots", "the number of slots", Quantity::kCount, 1, 10'000),
    Number("connections",
           "the number of connections",
           Quantity::kCount,
           1,
           1e6),
    Optional(Number("probe-cost",
                    "the cost of a probe",
                    Quantity::kDuration,
                    0,
                    10 * kMicrosPerSecond)),
    Optional(Number("connect-cost",
                    "the cost of a connection",
                    Quantity::kDuration,
                    0,
                    10 * kMicrosPerSecond)),
    Optional(Reference("class", "a class"))};
constexpr std::array<Field, 3> kPlaceFields = {
    Reference("", "a service"), Reference("in", "a failure domain"),
    Number("backends",
           "the number of backend servers",
           Quantity::kCount,
           1,
           100'000)};
constexpr std::array<Field, 3> kShareFields = {
    Reference("from", "a region"), Reference("to", "a region"),
    Number("", "the share of traffic", Quantity::kPercent, 0, 1)};
constexpr std::array<Field, 2> kDrainFields = {
    Field{"", FieldKind::kScope, "what to drain", Quantity::kCount, 0, 0,
          false},
    Reference("", "a name")};
constexpr std::array<Field, 2> kCapFields = {
    Number("", "the most that a change moves", Quantity::kPercent, 0.001, 1),
    Number("over",
           "the time that a change takes",
           Quantity::kDuration,
           kMicrosPerSecond,
           24 * 3'600 * kMicrosPerSecond)};
constexpr std::array<Field, 3> kLinkFields = {
    Reference("", "a region"), Reference("", "a region"),
    Number("", "the bit rate", Quantity::kBitRate, 125, 1.25e12)};
constexpr std::array<Field, 4> kClassFields = {
    NewName("a class name"),
    Number("share", "the share of slots", Quantity::kPercent, 0.01, 1),
    Number("deadline",
           "the default deadline",
           Quantity::kDuration,
           1'000,
           3'600 * kMicrosPerSecond),
    Number("priority", "the priority", Quantity::kCount, 0, 100)};

constexpr std::array<Form, kRuleKinds> kForms = {{
    {"region", RuleKind::kRegion, kRegionFields, "region NAME"},
    {"domain", RuleKind::kDomain, kDomainFields,
     "domain NAME in REGION entry-vms 2"},
    {"site", RuleKind::kSite, kSiteFields, "site NAME in DOMAIN weight 1"},
    {"service", RuleKind::kService, kServiceFields,
     "service NAME slots 3 connections 330 probe-cost 6ms connect-cost 1ms "
     "class CLASS"},
    {"place", RuleKind::kPlace, kPlaceFields,
     "place SERVICE in DOMAIN backends 3"},
    {"share", RuleKind::kShare, kShareFields,
     "share from REGION to REGION 10%"},
    {"drain", RuleKind::kDrain, kDrainFields,
     "drain region|domain|site|backend NAME"},
    {"cap", RuleKind::kCap, kCapFields, "cap 10% over 60s"},
    {"link", RuleKind::kLink, kLinkFields, "link REGION REGION 4Gbit/s"},
    {"class", RuleKind::kClass, kClassFields,
     "class NAME share 100% deadline 500ms priority 2"},
}};

constexpr std::array<std::string_view, 4> kScopes = {"region", "domain", "site",
                                                     "backend"};

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

bool IsName(std::string_view text) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  const auto is_name_char = [&](char c) {
    return is_alphanumeric(c) || c == '-' || c == '.' || c == '_';
  };
  return !text.empty() && text.size() <= limits::kMaxNameBytes &&
         is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), is_name_char);
}

// Matches the words of one line against the fields of a form.
class LineMatcher {
 public:
  LineMatcher(const Line& line, std::vector<RuleError>* errors)
      : line_(line), errors_(errors) {}

  Statement Match(const Form& form) {
    statement_.form = &form;
    statement_.line = line_.number;
    statement_.values.resize(form.fields.size());
    next_word_ = 1;
    for (size_t i = 0; i < form.fields.size(); ++i) {
      if (!MatchField(form.fields[i], &statement_.values[i])) {
        return statement_;
      }
    }
    if (next_word_ < line_.words.size()) {
      ReportExtraWord(form);
    }
    return statement_;
  }

 private:
  // Returns false when the rest of the line can't be matched.
  bool MatchField(const Field& field, Value* value) {
    if (!field.keyword.empty()) {
      if (!IsNextWord(field.keyword)) {
        return field.optional || ReportMissingKeyword(field);
      }
      ++next_word_;
    }
    if (next_word_ >= line_.words.size()) {
      Report(line_.end_column, "the line ends too early",
             std::string(field.meaning), "");
      return false;
    }
    value->word = line_.words[next_word_++];
    value->present = true;
    value->valid = CheckValue(field, value);
    return true;
  }

  bool IsNextWord(std::string_view text) const {
    return next_word_ < line_.words.size() &&
           line_.words[next_word_].text == text;
  }

  bool ReportMissingKeyword(const Field& field) {
    if (next_word_ >= line_.words.size()) {
      Report(line_.end_column, "the line ends too early", Quoted(field.keyword),
             "");
      return false;
    }
    const Word& word = line_.words[next_word_];
    Report(word.column, "unexpected word " + Quoted(word.text),
           Quoted(field.keyword), field.keyword);
    return false;
  }

  void ReportExtraWord(const Form& form) {
    std::vector<std::string_view> keywords;
    for (size_t i = 0; i < form.fields.size(); ++i) {
      if (form.fields[i].optional && !statement_.values[i].present) {
        keywords.push_back(form.fields[i].keyword);
      }
    }
    const Word& word = line_.words[next_word_];
    Report(word.column, "unexpected word " + Quoted(word.text),
           "a line such as " + Quoted(form.example),
           NearestWord(word.text, keywords));
  }

  bool CheckValue(const Field& field, Value* value) {
    switch (field.kind) {
      case FieldKind::kNewName:
      case FieldKind::kReference:
        return CheckName(field, value->word);
      case FieldKind::kScope:
        return CheckScope(value);
      case FieldKind::kQuantity:
        return CheckQuantity(field, value);
    }
    return false;
  }

  bool CheckName(const Field& field, const Word& word) {
    if (IsName(word.text)) {
      return true;
    }
    return Report(word.column, Quoted(word.text) + " is not a name",
                  std::string(field.meaning) +
                      " of lower-case letters, digits, '-', '.' and '_', at "
                      "most " +
                      std::to_string(limits::kMaxNameBytes) + " bytes",
                  "");
  }

  bool CheckScope(Value* value) {
    const auto* found =
        std::find(kScopes.begin(), kScopes.end(), value->word.text);
    if (found != kScopes.end()) {
      value->number = static_cast<double>(found - kScopes.begin());
      return true;
    }
    return Report(value->word.column,
                  "unexpected word " + Quoted(value->word.text),
                  "region, domain, site or backend",
                  NearestWord(value->word.text, kScopes));
  }

  bool CheckQuantity(const Field& field, Value* value) {
    const Word& word = value->word;
    const ParsedQuantity parsed = ParseQuantity(field.quantity, word.text);
    if (parsed.fault != QuantityFault::kNone) {
      return Report(
          word.column,
          Quoted(word.text) + " " + std::string(DescribeFault(parsed.fault)),
          std::string(field.meaning) + " as " +
              std::string(DescribeQuantity(field.quantity)),
          parsed.suggestion);
    }
    value->number = parsed.value;
    if (parsed.value >= field.min && parsed.value <= field.max) {
      return true;
    }
    return Report(word.column, Quoted(word.text) + " is out of range",
                  std::string(field.meaning) + " from " +
                      FormatQuantity(field.quantity, field.min) + " to " +
                      FormatQuantity(field.quantity, field.max),
                  "");
  }

  // Always returns false.
  bool Report(int column,
              std::string message,
              std::string expected,
              std::string_view suggestion) {
    statement_.valid = false;
    errors_->push_back({line_.number, column, std::move(message),
                        std::move(expected), std::string(suggestion)});
    return false;
  }

  const Line& line_;
  std::vector<RuleError>* errors_;
  Statement statement_;
  size_t next_word_ = 0;
};

void ReportUnknownRule(const Line& line, std::vector<RuleError>* errors) {
  std::vector<std::string_view> keywords;
  std::string expected = "one of";
  for (const Form& form : kForms) {
    keywords.push_back(form.keyword);
    expected += ' ' + std::string(form.keyword);
  }
  const Word& word = line.words.front();
  errors->push_back({line.number, word.column,
                     "unknown rule " + Quoted(word.text), expected,
                     std::string(NearestWord(word.text, keywords))});
}

}  // namespace

std::span<const Form> Forms() {
  return kForms;
}

std::span<const std::string_view> DrainScopes() {
  return kScopes;
}

std::optional<Statement> MatchLine(const Line& line,
                                   std::vector<RuleError>* errors) {
  for (const Form& form : kForms) {
    if (form.keyword == line.words.front().text) {
      return LineMatcher(line, errors).Match(form);
    }
  }
  ReportUnknownRule(line, errors);
  return std::nullopt;
}

}  // namespace comfreystand::rules
