// Drives a dispatcher without a network: one request, which the first backend
// server refuses and the second one answers.
#include "comfreystand/steer/dispatch.h"

#include <cstdio>

namespace {

using namespace std::chrono_literals;
namespace steer = comfreystand::steer;
using comfreystand::BackendId;
using comfreystand::ServiceId;
using comfreystand::TimePoint;

steer::DispatcherInit OneService() {
  steer::DispatcherInit init;
  init.rules.regions = {{"north"}};
  init.rules.domains = {{"north-a", comfreystand::RegionId(0), 1}};
  init.rules.services = {{"desk", comfreystand::Slots{3}, 50}};
  return init;
}

void AddBackend(steer::Dispatcher* dispatcher, TimePoint now, uint32_t id) {
  steer::BackendUpdate update;
  update.backend = BackendId(id);
  update.service = ServiceId(0);
  update.domain = comfreystand::DomainId(0);
  update.slots = comfreystand::Slots{3};
  dispatcher->UpdateBackend(now, update);
}

}  // namespace

int main() {
  const auto dispatcher = steer::CreateDispatcher(OneService());
  const TimePoint now(1s);
  AddBackend(dispatcher.get(), now, 0);
  AddBackend(dispatcher.get(), now, 1);
  steer::RequestTraits traits;
  traits.service = ServiceId(0);
  traits.caller = comfreystand::CallerId(0);
  traits.arrival = now;
  traits.deadline = now + 1s;
  dispatcher->Submit(now, traits);
  bool refused = false;
  steer::Action action;
  while (dispatcher->NextAction(now, &action)) {
    if (action.type == steer::ActionType::kStartAttempt) {
      std::printf("attempt at backend server %u\n", action.backend.value);
      steer::AttemptReport report;
      report.event = refused ? steer::AttemptEvent::kAnswered
                             : steer::AttemptEvent::kRefused;
      refused = true;
      dispatcher->OnAttempt(now, action.attempt, report);
    } else if (action.type == steer::ActionType::kDeliver) {
      std::printf("deliver its answer\n");
    }
  }
  return 0;
}
