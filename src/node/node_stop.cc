#include <utility>

#include "comfreystand/log.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

using member::StopPhase;

// Time without a new request after which none is taken to be arriving.
constexpr Duration kQuietTime = std::chrono::seconds(2);

}  // namespace

void Node::Impl::BeginStop(std::function<void()> done) {
  if (stop_.Phase() != StopPhase::kRunning)
    return;
  stopped_ = std::move(done);
  stop_.Begin(loop_->Now());
  membership_->AnnounceLeaving();
  EnterPhase(stop_.Phase());
}

member::StopProgress Node::Impl::Progress() const {
  member::StopProgress progress;
  progress.requests_in_flight = edge_->IsIdle() ? 0 : 1;
  progress.requests_arriving = loop_->Now() - last_request_seen_ < kQuietTime;
  progress.hours_flushed = hours_->IsFinished();
  return progress;
}

void Node::Impl::StepStop() {
  const uint64_t requests = edge_->GetStats().requests;
  if (requests != requests_at_last_step_) {
    requests_at_last_step_ = requests;
    last_request_seen_ = loop_->Now();
  }
  if (stop_.Phase() == StopPhase::kRunning)
    return;
  const StopPhase before = stop_.Phase();
  const StopPhase after = stop_.Step(loop_->Now(), Progress());
  if (after != before)
    EnterPhase(after);
}

void Node::Impl::EnterPhase(StopPhase phase) {
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
  if (phase == StopPhase::kDone && stopped_)
    stopped_();
}

}  // namespace comfreystand::node
