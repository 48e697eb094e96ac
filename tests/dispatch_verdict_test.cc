#include <doctest/doctest.h>

#include <array>

#include "src/steer/retry_budget.h"
#include "src/steer/retry_verdict.h"

namespace comfreystand::steer {
namespace {

struct VerdictCase {
  AttemptProgress progress;
  AttemptEvent event;
  RunVerdict verdict;
};

constexpr AttemptProgress kNothing{};
constexpr AttemptProgress kWritten{.written = true};
constexpr AttemptProgress kStarted{.written = true, .answer_started = true};

// Every progress with every terminal event.
constexpr std::array<VerdictCase, 15> kVerdicts = {{
    {kNothing, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kNothing, AttemptEvent::kRefused, RunVerdict::kNotRun},
    {kNothing, AttemptEvent::kCancelledBeforeStart, RunVerdict::kNotRun},
    {kNothing, AttemptEvent::kConnectFailed, RunVerdict::kNotRun},
    {kNothing, AttemptEvent::kBroken, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kWritten, AttemptEvent::kRefused, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kCancelledBeforeStart, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kConnectFailed, RunVerdict::kMayHaveRun},
    {kWritten, AttemptEvent::kBroken, RunVerdict::kMayHaveRun},
    {kStarted, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kStarted, AttemptEvent::kRefused, RunVerdict::kMayHaveRun},
    {kStarted, AttemptEvent::kCancelledBeforeStart, RunVerdict::kMayHaveRun},
    {kStarted, AttemptEvent::kConnectFailed, RunVerdict::kMayHaveRun},
    {kStarted, AttemptEvent::kBroken, RunVerdict::kMayHaveRun},
}};

struct ResendCase {
  const char* name;
  RequestHistory history;
  bool resend;
  bool hedge;
  RunVerdict verdict;
};

constexpr std::array<ResendCase, 8> kResends = {{
    {"refused, not idempotent",
     {.attempts = 1},
     true,
     false,
     RunVerdict::kNotRun},
    {"broken after writing, not idempotent",
     {.attempts = 1, .any_may_have_run = true},
     false,
     false,
     RunVerdict::kMayHaveRun},
    {"broken after writing, idempotent",
     {.idempotent = true, .attempts = 1, .any_may_have_run = true},
     true,
     false,
     RunVerdict::kMayHaveRun},
    {"running, not idempotent",
     {.open_attempts = 1, .attempts = 1},
     false,
     false,
     RunVerdict::kMayHaveRun},
    {"running, idempotent",
     {.idempotent = true, .open_attempts = 1, .attempts = 1},
     false,
     true,
     RunVerdict::kMayHaveRun},
    {"running twice, idempotent",
     {.idempotent = true, .open_attempts = 2, .attempts = 2},
     false,
     false,
     RunVerdict::kMayHaveRun},
    {"answer under way",
     {.idempotent = true, .delivering = true, .attempts = 1},
     false,
     false,
     RunVerdict::kMayHaveRun},
    {"tried as often as allowed",
     {.idempotent = true, .attempts = 3},
     false,
     false,
     RunVerdict::kNotRun},
}};

TEST_CASE("the verdict on an attempt") {
  SUBCASE("follows from what was seen, for every progress and end") {
    for (const VerdictCase& row : kVerdicts) {
      CAPTURE(row.progress.written);
      CAPTURE(row.progress.answer_started);
      CAPTURE(static_cast<int>(row.event));
      CHECK(IsTerminal(row.event));
      CHECK(AttemptVerdict(row.progress, row.event) == row.verdict);
    }
  }
  SUBCASE("is never better than may-have-run while the attempt goes on") {
    for (AttemptEvent event :
         {AttemptEvent::kWritten, AttemptEvent::kAnswerStarted}) {
      CHECK_FALSE(IsTerminal(event));
      CHECK(AttemptVerdict(kNothing, event) == RunVerdict::kMayHaveRun);
    }
  }
}

TEST_CASE("a request's history decides about resend, hedge and verdict") {
  for (const ResendCase& row : kResends) {
    CAPTURE(row.name);
    CHECK(MayResend(row.history, 3) == row.resend);
    CHECK(MayHedge(row.history, 3) == row.hedge);
    CHECK(RequestVerdict(row.history) == row.verdict);
  }
}

TEST_CASE("a retry budget") {
  RetryBudget budget(0.1, 20);
  while (budget.TryConsume()) {
  }
  SUBCASE("grants a fraction of the requests") {
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest();
      granted += budget.TryConsume() ? 1 : 0;
    }
    CHECK(granted >= 98);
    CHECK(granted <= 100);
  }
  SUBCASE("saves up no more than its burst") {
    for (int i = 0; i < 10'000; ++i) {
      budget.OnRequest();
    }
    int granted = 0;
    while (budget.TryConsume()) {
      ++granted;
    }
    CHECK(granted == 20);
  }
}

}  // namespace
}  // namespace comfreystand::steer
