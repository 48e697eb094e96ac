#include "src/steer/fair_order.h"

#include <algorithm>
#include <tuple>

namespace comfreystand::steer {

void FairOrder::BeginRound(std::vector<FairCandidate> waiting) {
  std::sort(waiting.begin(), waiting.end(),
            [](const FairCandidate& a, const FairCandidate& b) {
              return std::tuple(a.misses_goal, a.arrival, a.request) <
                     std::tuple(b.misses_goal, b.arrival, b.request);
            });
  for (auto& [priority, level] : levels_) {
    level.waits = false;
    level.order.clear();
    for (auto& [caller, flow] : level.flows) {
      flow.untried.clear();
    }
  }
  for (const FairCandidate& candidate : waiting) {
    Level& level = levels_[candidate.priority];
    level.waits = true;
    level.flows[candidate.caller].untried.push_back(candidate);
  }
  ForgetIdleFlows();
  waiting_levels_ = 0;
  for (auto& [priority, level] : levels_) {
    waiting_levels_ += level.waits ? 1 : 0;
    level.passed_over = level.waits ? level.passed_over : 0;
    for (auto& [caller, flow] : level.flows) {
      const bool waits = !flow.untried.empty();
      if (waits && !flow.waited) {
        // A caller that sent nothing saves up no starts.
        flow.tag = std::max(flow.tag, level.virtual_time);
      }
      flow.waited = waits;
      if (waits) {
        level.order.emplace(flow.tag, caller);
      }
    }
  }
}

void FairOrder::ForgetIdleFlows() {
  for (auto level = levels_.begin(); level != levels_.end();) {
    std::erase_if(level->second.flows, [&](const auto& item) {
      return item.second.untried.empty() &&
             item.second.tag <= level->second.virtual_time;
    });
    level = level->second.flows.empty() ? levels_.erase(level) : ++level;
  }
}

// With several levels whose turn it is, the last of them still gets its start
// in time.
FairOrder::Level* FairOrder::NextLevel() {
  const uint32_t turn = waiting_levels_ < kStartsPerTurn
                            ? kStartsPerTurn - waiting_levels_
                            : uint32_t{1};
  Level* next = nullptr;
  for (auto& [priority, level] : levels_) {
    if (level.order.empty()) {
      continue;
    }
    const bool is_due = level.passed_over >= turn;
    if (!next || (is_due && level.passed_over > next->passed_over)) {
      next = &level;
    }
  }
  return next;
}

std::optional<FairCandidate> FairOrder::Take() {
  Level* level = NextLevel();
  if (!level) {
    return std::nullopt;
  }
  const CallerId caller = level->order.begin()->second;
  Flow& flow = level->flows[caller];
  const FairCandidate candidate = flow.untried.front();
  flow.untried.pop_front();
  if (flow.untried.empty()) {
    level->order.erase(level->order.begin());
  }
  return candidate;
}

void FairOrder::OnStarted(const FairCandidate& started) {
  for (auto& [priority, level] : levels_) {
    if (priority == started.priority) {
      level.passed_over = 0;
    } else if (level.waits) {
      ++level.passed_over;
    }
  }
  Level& level = levels_[started.priority];
  Flow& flow = level.flows[started.caller];
  level.order.erase({flow.tag, started.caller});
  level.virtual_time = std::max(level.virtual_time, flow.tag);
  flow.tag += 1 / started.weight;
  if (!flow.untried.empty()) {
    level.order.emplace(flow.tag, started.caller);
  }
}

}  // namespace comfreystand::steer
