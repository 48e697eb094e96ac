#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <vector>

#include "comfreystand/steer/dispatch.h"
#include "tests/support/dispatch_fixture.h"
#include "tests/support/property.h"

namespace comfreystand::steer {
namespace {

using namespace dispatch_fixture;  // NOLINT(google-build-using-namespace)

constexpr uint32_t kBackends = 4;
constexpr uint32_t kSlots = 3;

// A driver that derives its operations from generated numbers and checks the
// invariants on every action.
class RandomDriver {
 public:
  RandomDriver() {
    for (uint32_t i = 0; i < kBackends; ++i) {
      fixture_.AddBackend(i, i % 2 == 0 ? kOwnDomain : kSameRegionDomain);
    }
    fixture_.dispatcher->SetSlotLimit(kService, kSameRegionDomain, Slots{4});
    HandleActions();
  }

  void Step(uint32_t number) {
    const uint32_t operation = number % 16;
    const uint32_t selector = number / 16;
    if (operation < 5) {
      Submit(operation < 3, selector);
    } else if (operation < 13) {
      ReportRandomEvent(operation - 5, selector);
    } else if (operation == 13) {
      fixture_.now += Duration(selector % 400'000);
    } else if (operation == 14) {
      CancelRandomRequest(selector);
    } else {
      MarkBackendLeaving(selector);
    }
    HandleActions();
  }

  void CheckFinalState() {
    const DispatcherStats stats = fixture_.dispatcher->Stats();
    const DispatchTuning tuning;
    const auto submitted = static_cast<double>(stats.submitted);
    RC_ASSERT(stats.resends <=
              tuning.retry_ratio * submitted + tuning.retry_burst);
    RC_ASSERT(stats.hedges <=
              tuning.hedge_ratio * submitted + tuning.hedge_burst);
    // Every request is finished after all deadlines have passed.
    fixture_.now += 40s;
    HandleActions();
    for (const auto& [handle, request] : requests_) {
      RC_ASSERT(request.rejected || request.delivered);
    }
  }

 private:
  struct Attempt {
    RequestHandle request;
    BackendId backend;
    bool written = false;
    bool answer_started = false;
  };

  struct Request {
    bool idempotent = false;
    uint32_t open = 0;
    bool may_have_started = false;
    bool rejected = false;
    bool delivered = false;
  };

  void Submit(bool idempotent, uint32_t selector) {
    const ClassId request_class = selector % 5 == 0 ? kLongClass : kShortClass;
    const RequestHandle handle =
        fixture_.Send(idempotent, request_class, 1s, CallerId(selector % 3));
    requests_[handle].idempotent = idempotent;
  }

  void ReportRandomEvent(uint32_t event_number, uint32_t selector) {
    if (attempts_.empty()) {
      return;
    }
    auto it = attempts_.begin();
    std::advance(it, selector % attempts_.size());
    const auto [handle, attempt] = *it;
    const auto event = static_cast<AttemptEvent>(event_number % 7);
    if (!attempt.written && event != AttemptEvent::kConnectFailed &&
        event != AttemptEvent::kBroken) {
      it->second.written = true;
      fixture_.Report(handle, AttemptEvent::kWritten);
      return;
    }
    if (attempt.written && event == AttemptEvent::kConnectFailed) {
      return;
    }
    if (event == AttemptEvent::kWritten) {
      return;
    }
    if (event == AttemptEvent::kAnswerStarted) {
      it->second.answer_started = true;
    } else {
      EndAttempt(handle, attempt, event);
    }
    fixture_.Report(handle, event);
  }

  void EndAttempt(AttemptHandle handle,
                  const Attempt& attempt,
                  AttemptEvent event) {
    Request& request = requests_[attempt.request];
    --request.open;
    --busy_[attempt.backend.value];
    const bool refused = event == AttemptEvent::kRefused ||
                         event == AttemptEvent::kCancelledBeforeStart;
    request.may_have_started |=
        attempt.answer_started || (attempt.written && !refused);
    attempts_.erase(handle);
  }

  void CancelRandomRequest(uint32_t selector) {
    if (requests_.empty()) {
      return;
    }
    auto it = requests_.begin();
    std::advance(it, selector % requests_.size());
    fixture_.dispatcher->CancelRequest(fixture_.now, it->first);
  }

  void MarkBackendLeaving(uint32_t selector) {
    const uint32_t backend = selector % kBackends;
    if (selector % 7 != 0 || backend == 0) {
      return;
    }
    leaving_[backend] = true;
    fixture_.dispatcher->UpdateBackend(
        fixture_.now,
        {.backend = BackendId(backend),
         .service = kService,
         .domain = backend % 2 == 0 ? kOwnDomain : kSameRegionDomain,
         .slots = Slots{kSlots},
         .state = BackendState::kLeaving});
  }

  void HandleActions() {
    Action action;
    while (fixture_.dispatcher->NextAction(fixture_.now, &action)) {
      CheckAction(action);
    }
  }

  void CheckAction(const Action& action) {
    if (action.type == ActionType::kProbe) {
      return;
    }
    Request& request = requests_[action.request];
    if (action.type == ActionType::kStartAttempt) {
      RC_ASSERT(!request.rejected);
      RC_ASSERT(!request.delivered);
      RC_ASSERT(request.idempotent || request.open == 0);
      RC_ASSERT(request.idempotent || !request.may_have_started);
      RC_ASSERT(!leaving_[action.backend.value]);
      ++request.open;
      RC_ASSERT(++busy_[action.backend.value] <= kSlots);
      attempts_[action.attempt] = {.request = action.request,
                                   .backend = action.backend};
    } else if (action.type == ActionType::kDeliver) {
      RC_ASSERT(!request.delivered);
      RC_ASSERT(!request.rejected);
      request.delivered = true;
    } else if (action.type == ActionType::kReject) {
      RC_ASSERT(!request.rejected);
      request.rejected = true;
      RC_ASSERT(action.verdict != RunVerdict::kRan);
      if (action.verdict == RunVerdict::kNotRun) {
        RC_ASSERT(request.open == 0);
        RC_ASSERT(!request.may_have_started);
        RC_ASSERT(!request.delivered);
      }
    }
  }

  DispatcherFixture fixture_;
  std::map<AttemptHandle, Attempt> attempts_;
  std::map<RequestHandle, Request> requests_;
  std::array<uint32_t, kBackends> busy_{};
  std::array<bool, kBackends> leaving_{};
};

TEST_CASE("the invariants of attempts and verdicts hold for random events") {
  CheckProperty(
      [] {
        const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
            400, rc::gen::inRange(0U, 16'000'000U));
        RandomDriver driver;
        for (const uint32_t number : numbers) {
          driver.Step(number);
        }
        driver.CheckFinalState();
      },
      1, 300);
}

}  // namespace
}  // namespace comfreystand::steer
