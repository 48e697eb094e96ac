#ifndef COMFREYSTAND_TESTS_SUPPORT_PROPERTY_H_
#define COMFREYSTAND_TESTS_SUPPORT_PROPERTY_H_

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>

namespace comfreystand {

// Checks a rapidcheck property with a fixed seed, so that the result is
// reproducible.
template <typename Property>
void CheckProperty(Property property, uint64_t seed = 1, int cases = 200) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  // Shrinking long histories takes minutes. The seed is enough to replay a
  // failure.
  params.disableShrinking = true;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  const bool holds = result.template is<rc::detail::SuccessResult>();
  CHECK_MESSAGE(holds, message.str());
}

}  // namespace comfreystand

#endif  // COMFREYSTAND_TESTS_SUPPORT_PROPERTY_H_
