#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <vector>

#include "comfreystand/steer/dispatch.h"
#include "tests/support/dispatch_scene.h"
#include "tests/support/property.h"

namespace comfreystand::steer {
namespace {

using namespace scene;  // NOLINT(google-build-using-namespace)

constexpr uint32_t kBackends = 4;
constexpr uint32_t kSlots = 3;

// A driver that does what the generated numbers say and checks every action
// against the promises.
class RandomDriver {
 public:
  RandomDriver() {
    for (uint32_t i = 0; i < kBackends; ++i) {
      scene_.AddBackend(i, i % 2 == 0 ? kHere : kNear);
    }
    scene_.dispatcher->SetSlotLimit(kDesk, kNear, Slots{4});
    Drain();
  }

  void Step(uint32_t number) {
    const uint32_t what = number % 16;
    const uint32_t which = number / 16;
    if (what < 5) {
      Submit(what < 3, which);
    } else if (what < 13) {
      TellSomething(what - 5, which);
    } else if (what == 13) {
      scene_.now += Duration(which % 400'000);
    } else if (what == 14) {
      CancelSomething(which);
    } else {
      Leave(which);
    }
    Drain();
  }

  void CheckEnd() {
    const DispatcherStats stats = scene_.dispatcher->Stats();
    const DispatchTuning tuning;
    const auto submitted = static_cast<double>(stats.submitted);
    RC_ASSERT(stats.resends <=
              tuning.retry_ratio * submitted + tuning.retry_burst);
    RC_ASSERT(stats.hedges <=
              tuning.hedge_ratio * submitted + tuning.hedge_burst);
    // Whatever happens, every request ends.
    scene_.now += 40s;
    Drain();
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

  void Submit(bool idempotent, uint32_t which) {
    const ClassId request_class = which % 5 == 0 ? kReport : kShortClass;
    const RequestHandle handle =
        scene_.Send(idempotent, request_class, 1s, CallerId(which % 3));
    requests_[handle].idempotent = idempotent;
  }

  void TellSomething(uint32_t event_number, uint32_t which) {
    if (attempts_.empty()) {
      return;
    }
    auto it = attempts_.begin();
    std::advance(it, which % attempts_.size());
    const auto [handle, attempt] = *it;
    const auto event = static_cast<AttemptEvent>(event_number % 7);
    if (!attempt.written && event != AttemptEvent::kConnectFailed &&
        event != AttemptEvent::kBroken) {
      it->second.written = true;
      scene_.Tell(handle, AttemptEvent::kWritten);
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
      End(handle, attempt, event);
    }
    scene_.Tell(handle, event);
  }

  void End(AttemptHandle handle, const Attempt& attempt, AttemptEvent event) {
    Request& request = requests_[attempt.request];
    --request.open;
    --busy_[attempt.backend.value];
    const bool refused = event == AttemptEvent::kRefused ||
                         event == AttemptEvent::kCancelledBeforeStart;
    request.may_have_started |=
        attempt.answer_started || (attempt.written && !refused);
    attempts_.erase(handle);
  }

  void CancelSomething(uint32_t which) {
    if (requests_.empty()) {
      return;
    }
    auto it = requests_.begin();
    std::advance(it, which % requests_.size());
    scene_.dispatcher->CancelRequest(scene_.now, it->first);
  }

  void Leave(uint32_t which) {
    const uint32_t backend = which % kBackends;
    if (which % 7 != 0 || backend == 0) {
      return;
    }
    leaving_[backend] = true;
    scene_.dispatcher->UpdateBackend(
        scene_.now, {.backend = BackendId(backend),
                     .service = kDesk,
                     .domain = backend % 2 == 0 ? kHere : kNear,
                     .slots = Slots{kSlots},
                     .state = BackendState::kLeaving});
  }

  void Drain() {
    Action action;
    while (scene_.dispatcher->NextAction(scene_.now, &action)) {
      Check(action);
    }
  }

  void Check(const Action& action) {
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

  Scene scene_;
  std::map<AttemptHandle, Attempt> attempts_;
  std::map<RequestHandle, Request> requests_;
  std::array<uint32_t, kBackends> busy_{};
  std::array<bool, kBackends> leaving_{};
};

TEST_CASE("whatever happens, the promises to callers hold") {
  CheckProperty(
      [] {
        const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
            400, rc::gen::inRange(0U, 16'000'000U));
        RandomDriver driver;
        for (const uint32_t number : numbers) {
          driver.Step(number);
        }
        driver.CheckEnd();
      },
      1, 300);
}

}  // namespace
}  // namespace comfreystand::steer
