#include "src/platform/edit.h"

#include <utility>

namespace comfreystand::platform {
namespace {

bool HasChangeInProgress(const RuleDocument& document, std::string* reason) {
  if (document.text != document.baseline_text) {
    return true;
  }
  *reason = "no change is under way";
  return false;
}

}  // namespace

Edit ReplaceText(std::string text) {
  return [text = std::move(text)](RuleDocument* document, std::string*) {
    // The first file has no earlier one to change from, so it is settled at
    // once.
    const bool first = document->version == RuleVersion{};
    document->text = text;
    document->halted = false;
    return first ? EditOutcome::kSettled : EditOutcome::kApplied;
  };
}

Edit SettleCurrent() {
  return [](RuleDocument* document, std::string* reason) {
    if (document->version == RuleVersion{}) {
      *reason = "no rule file has been accepted";
      return EditOutcome::kRefused;
    }
    document->halted = false;
    return EditOutcome::kSettled;
  };
}

Edit HaltCurrent() {
  return [](RuleDocument* document, std::string* reason) {
    if (!HasChangeInProgress(*document, reason)) {
      return EditOutcome::kRefused;
    }
    document->halted = true;
    return EditOutcome::kApplied;
  };
}

Edit TakeBackCurrent() {
  return [](RuleDocument* document, std::string* reason) {
    if (!HasChangeInProgress(*document, reason)) {
      return EditOutcome::kRefused;
    }
    std::swap(document->text, document->baseline_text);
    document->baseline_version = document->version;
    document->halted = false;
    return EditOutcome::kApplied;
  };
}

}  // namespace comfreystand::platform
