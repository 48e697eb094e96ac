#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "comfreystand/log.h"
#include "src/node/files.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

// Blocks merged before the loop does other work again.
constexpr size_t kBlocksPerStep = 20'000;

std::string Describe(const std::string& path, const steer::BlockError& error) {
  return path + ":" + std::to_string(error.line) + ": " + error.message;
}

}  // namespace

bool Node::Impl::LoadBlocks(std::string* error) {
  const std::string& path = settings_.block_table;
  if (path.empty())
    return true;
  std::string text;
  if (!ReadFile(path, &text)) {
    *error = "can't read " + path;
    return false;
  }
  steer::BlockError fault;
  std::optional<steer::BlockDelta> blocks = steer::ParseBlocks(text, &fault);
  if (!blocks.has_value()) {
    *error = Describe(path, fault);
    return false;
  }
  block_builder_ =
      std::make_unique<steer::BlockTableBuilder>(nullptr, std::move(*blocks));
  if (!block_builder_->Start(&fault)) {
    *error = Describe(path, fault);
    return false;
  }
  StepBlocks();
  return true;
}

void Node::Impl::StepBlocks() {
  if (!block_builder_->Step(kBlocksPerStep)) {
    loop_->PostDelayed(Duration(0),
                       [this, alive = std::weak_ptr<bool>(alive_)] {
                         if (!alive.expired())
                           StepBlocks();
                       });
    return;
  }
  lookup_.SetBlocks(block_builder_->TakeTable());
  block_builder_.reset();
  LogStateChange("lookup", "blocks-installed",
                 {{"blocks", std::to_string(lookup_.Stats().blocks)}});
}

}  // namespace comfreystand::node
