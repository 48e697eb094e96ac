#include <utility>

#include "comfreystand/log.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

using member::StopPhase;

// Time without a new request after which callers are assumed to have stopped
// sending to this node.
constexpr Duration kQuietTime = std::chrono::seconds(2);

}  // namespace

void Node::Impl::BeginStop(std::function<void()> done) {
  if (stop_.Phase() != StopPhase::kRunning)
    return;
  on_stopped_ = std::move(done);
  stop_.Begin(loop_->Now());
  membership_->AnnounceLeaving();
  EnterStopPhase(stop_.Phase());
}

member::StopProgress Node::Impl::GetStopProgress() const {
  member::StopProgress progress;
  progress.requests_in_flight = edge_->IsIdle() ? 0 : 1;
  progress.requests_arriving = loop_->Now() - last_request_time_ < kQuietTime;
  progress.hours_flushed = hours_->IsFinished();
  return progress;
}

void Node::Impl::AdvanceStop() {
  const uint64_t requests = edge_->GetStats().requests;
  if (requests != requests_at_last_check_) {
    requests_at_last_check_ = requests;
    last_request_time_ = loop_->Now();
  }
  if (stop_.Phase() == StopPhase::kRunning)
    return;
  const StopPhase before = stop_.Phase();
  const StopPhase after = stop_.Step(loop_->Now(), GetStopProgress());
  if (after != before)
    EnterStopPhase(after);
}

void Node::Impl::EnterStopPhase(StopPhase phase) {
  LogStateChange("node", "stop",
                 {{"phase", std::string(member::ToString(phase))},
                  {"cut", std::to_string(stop_.UnfinishedRequests())}});
  if (phase == StopPhase::kFinishing)
    edge_->SetDrainState(edge::DrainState::kDraining);
  if (phase == StopPhase::kHandingBack) {
    edge_->SetDrainState(edge::DrainState::kRefusing);
    hours_->Update(edge_->GetStats());
    hours_->Finish();
  }
  if (phase == StopPhase::kDone && on_stopped_)
    on_stopped_();
}

}  // namespace comfreystand::node
