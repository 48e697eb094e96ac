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

constexpr AttemptProgress kNotWritten{};
constexpr AttemptProgress kWritten{.written = true};
constexpr AttemptProgress kAnswerStarted{.written = true,
                                         .answer_started = true};

// Every combination of progress and terminal event.
constexpr std::array<VerdictCase, 15> kVerdicts = {{
    {kNotWritten, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kNotWritten, AttemptEvent::kRefused, RunVerdict::kNotRun},
    {kNotWritten, AttemptEvent::kCancelledBeforeStart, RunVerdict::kNotRun},
    {kNotWritten, AttemptEvent::kConnectFailed, RunVerdict::kNotRun},
    {kNotWritten, AttemptEvent::kBroken, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kWritten, AttemptEvent::kRefused, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kCancelledBeforeStart, RunVerdict::kNotRun},
    {kWritten, AttemptEvent::kConnectFailed, RunVerdict::kMayHaveRun},
    {kWritten, AttemptEvent::kBroken, RunVerdict::kMayHaveRun},
    {kAnswerStarted, AttemptEvent::kAnswered, RunVerdict::kRan},
    {kAnswerStarted, AttemptEvent::kRefused, RunVerdict::kMayHaveRun},
    {kAnswerStarted, AttemptEvent::kCancelledBeforeStart,
     RunVerdict::kMayHaveRun},
    {kAnswerStarted, AttemptEvent::kConnectFailed, RunVerdict::kMayHaveRun},
    {kAnswerStarted, AttemptEvent::kBroken, RunVerdict::kMayHaveRun},
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
    {"answer being delivered",
     {.idempotent = true, .delivering = true, .attempts = 1},
     false,
     false,
     RunVerdict::kMayHaveRun},
    {"maximum number of attempts reached",
     {.idempotent = true, .attempts = 3},
     false,
     false,
     RunVerdict::kNotRun},
}};

TEST_CASE("the verdict of an attempt") {
  SUBCASE("is determined by its progress and terminal event") {
    for (const VerdictCase& row : kVerdicts) {
      CAPTURE(row.progress.written);
      CAPTURE(row.progress.answer_started);
      CAPTURE(static_cast<int>(row.event));
      CHECK(IsTerminal(row.event));
      CHECK(AttemptVerdict(row.progress, row.event) == row.verdict);
    }
  }
  SUBCASE("is may-have-run while the attempt is running") {
    for (AttemptEvent event :
         {AttemptEvent::kWritten, AttemptEvent::kAnswerStarted}) {
      CHECK_FALSE(IsTerminal(event));
      CHECK(AttemptVerdict(kNotWritten, event) == RunVerdict::kMayHaveRun);
    }
  }
}

TEST_CASE(
    "resend, hedge and verdict are determined by the history of a request") {
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
  SUBCASE("allows attempts for a fraction of the requests") {
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest();
      allowed += budget.TryConsume() ? 1 : 0;
    }
    CHECK(allowed >= 98);
    CHECK(allowed <= 100);
  }
  SUBCASE("accumulates at most its burst") {
    for (int i = 0; i < 10'000; ++i) {
      budget.OnRequest();
    }
    int allowed = 0;
    while (budget.TryConsume()) {
      ++allowed;
    }
    CHECK(allowed == 20);
  }
}

}  // namespace
}  // namespace comfreystand::steer
