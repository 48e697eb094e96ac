#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "comfreystand/steer/lookup.h"

namespace {

using comfreystand::steer::BlockDelta;
using comfreystand::steer::BlockError;
using comfreystand::steer::BlockTable;
using comfreystand::steer::BlockTableBuilder;
using comfreystand::steer::ClientAddress;
using comfreystand::steer::OrderId;
using comfreystand::steer::ParseBlocks;

constexpr std::string_view kBase =
    "blocks 1 1\norder 0 a,b c\nblock 10.0.0.0/8 0\nblock 2001:db8::/32 0\n";

std::shared_ptr<const BlockTable> Build(
    std::string_view text,
    std::shared_ptr<const BlockTable> base) {
  BlockError error;
  std::optional<BlockDelta> delta = ParseBlocks(text, &error);
  if (!delta) {
    return nullptr;
  }
  BlockTableBuilder builder(std::move(base), std::move(*delta));
  if (!builder.Start(&error)) {
    return nullptr;
  }
  while (!builder.Step(5)) {
  }
  return builder.TakeTable();
}

}  // namespace

// Any text is either rejected or yields a table whose answers are non-empty
// orders.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const std::shared_ptr<const BlockTable> base = Build(kBase, nullptr);
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const std::shared_ptr<const BlockTable> table = Build(text, base);
  if (!table) {
    return 0;
  }
  for (size_t i = 0; i + 16 <= size; i += 7) {
    ClientAddress client;
    std::copy_n(data + i, client.bytes.size(), client.bytes.begin());
    const OrderId order = table->Find(client);
    if (order.IsValid() && table->Order(order).count == 0) {
      std::abort();
    }
  }
  return 0;
}
