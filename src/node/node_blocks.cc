#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "comfreystand/log.h"
#include "src/node/files.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

// Number of blocks merged per loop task, so that the loop can run other tasks
// in between.
constexpr size_t kBlocksPerStep = 20'000;

std::string FormatBlockError(const std::string& path,
                             const steer::BlockError& error) {
  return path + ":" + std::to_string(error.line) + ": " + error.message;
}

}  // namespace

bool Node::Impl::LoadBlockTable(std::string* error) {
  const std::string& path = settings_.block_table;
  if (path.empty())
    return true;
  std::string text;
  if (!ReadFile(path, &text)) {
    *error = "can't read " + path;
    return false;
  }
  steer::BlockError block_error;
  std::optional<steer::BlockDelta> blocks =
      steer::ParseBlocks(text, &block_error);
  if (!blocks.has_value()) {
    *error = FormatBlockError(path, block_error);
    return false;
  }
  block_builder_ =
      std::make_unique<steer::BlockTableBuilder>(nullptr, std::move(*blocks));
  if (!block_builder_->Start(&block_error)) {
    *error = FormatBlockError(path, block_error);
    return false;
  }
  ContinueBlockTableBuild();
  return true;
}

void Node::Impl::ContinueBlockTableBuild() {
  if (!block_builder_->Step(kBlocksPerStep)) {
    loop_->PostDelayed(Duration(0),
                       [this, alive = std::weak_ptr<bool>(alive_)] {
                         if (!alive.expired())
                           ContinueBlockTableBuild();
                       });
    return;
  }
  lookup_.SetBlocks(block_builder_->TakeTable());
  block_builder_.reset();
  LogStateChange("lookup", "blocks-installed",
                 {{"blocks", std::to_string(lookup_.Stats().blocks)}});
}

}  // namespace comfreystand::node
