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
  // Applied, and the result is also the new settled baseline.
  kSettled,
};

// What an action makes of the current document; a refusal gives its reason.
using Edit =
    std::function<EditOutcome(RuleDocument* document, std::string* reason)>;

Edit ReplaceText(std::string text);
Edit SettleCurrent();
Edit HaltCurrent();
Edit TakeBackCurrent();

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_EDIT_H_
