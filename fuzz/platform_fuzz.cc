#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/decode.h"
#include "platform/store_codec.h"

namespace {

namespace platform = comfreystand::platform;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

// Requires that decoding succeeds or fails with a DecodeError that describes
// the problem.
template <typename Decode>
void RequireResultOrProblem(Decode decode) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(decode());
        return {};
      },
      [](const platform::DecodeError& error) {
        Require(!error.problem.empty());
      },
      [] { Require(false); });
}

}  // namespace

// Decoding any text yields a value or an error. Decoded items and base64 text
// can be encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  RequireResultOrProblem([&] { return platform::DecodeConfig(text); });
  RequireResultOrProblem([&] { return platform::DecodeBackend("i-1", text); });
  RequireResultOrProblem([&] { return platform::DecodeNode("n-1", text); });
  platform::StoreItems items;
  if (platform::DecodeItems(text, &items)) {
    platform::StoreItems decoded;
    Require(platform::DecodeItems(platform::EncodeItems(items), &decoded));
  }
  std::string bytes;
  if (platform::DecodeBase64(text, &bytes)) {
    std::string decoded;
    Require(platform::DecodeBase64(platform::EncodeBase64(bytes), &decoded));
    Require(bytes == decoded);
  }
  return 0;
}
