#ifndef COMFREYSTAND_SRC_PLATFORM_EDIT_H_
#define COMFREYSTAND_SRC_PLATFORM_EDIT_H_

#include <functional>
#include <string>

#include "comfreystand/rules.h"

namespace comfreystand::platform {

enum class EditOutcome : uint8_t {
  // The action does not apply to the document.
  kRefused,
  kApplied,
  // Applied; the result is also the new settled baseline.
  kSettled,
};

// Applies an action to the current document. Sets `reason` on a refusal.
using Edit =
    std::function<EditOutcome(RuleDocument* document, std::string* reason)>;

// Makes `text` the current file; a first file is also settled.
Edit ReplaceText(std::string text);
// The edits of Acceptance::Settle(), Halt() and TakeBack().
Edit SettleCurrent();
Edit HaltCurrent();
Edit TakeBackCurrent();

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_EDIT_H_
