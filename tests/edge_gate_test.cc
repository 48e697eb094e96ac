#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "tests/support/edge_fixture.h"

namespace comfreystand::testing {
namespace {

using Gate = edge::AdmissionGate;

// Answers as the test says.
class FakeGate final : public Gate {
 public:
  Answer Admit(const edge::RelayRequest&, Callback done) override {
    if (answer.verdict == Verdict::kWaiting) {
      answer.ticket = ++last_ticket;
      waiting[last_ticket] = std::move(done);
    }
    return answer;
  }
  void Cancel(const edge::RelayRequest&, uint64_t ticket) override {
    cancelled += static_cast<int>(waiting.erase(ticket));
  }
  void OnNotRun(const edge::RelayRequest&) override { ++not_run; }

  // Answers the request that has waited for longest.
  void Settle(const Answer& later) {
    const Callback done = std::move(waiting.begin()->second);
    waiting.erase(waiting.begin());
    done(later);
  }

  Answer answer;
  std::map<uint64_t, Callback> waiting;
  uint64_t last_ticket = 0;
  int cancelled = 0;
  int not_run = 0;
};

edge::ServerInit InitWith(FakeGate* gate) {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.gate = gate;
  init.max_buffered_bytes = 150'000;
  return init;
}

}  // namespace

TEST_CASE("A gate before the dispatcher") {
  FakeGate gate;
  EdgeFixture fixture(1, InitWith(&gate));
  const std::string request = Request("GET", "/x");
  SUBCASE("refuses a request, which is not submitted") {
    gate.answer = {.verdict = Gate::Verdict::kRefused,
                   .retry_after = std::chrono::milliseconds(250)};
    auto caller = fixture.OpenCaller(request);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->received().starts_with("HTTP/1.1 429"));
    CHECK(caller->received().find("not-run") != std::string::npos);
    CHECK(fixture.server->GetStats().attempts == 0);
    // The connection carries further requests.
    gate.answer = {};
    caller->Send(request);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 2; }));
    CHECK(gate.not_run == 0);
  }
  SUBCASE("refuses an upload only after its body has arrived") {
    gate.answer = {.verdict = Gate::Verdict::kRefused};
    auto caller = fixture.OpenCaller(Request("POST", "/x", "", "12345"));
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    caller->Send(request);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 2; }));
  }
  SUBCASE("admits or refuses a request later") {
    gate.answer.verdict = Gate::Verdict::kWaiting;
    auto first = fixture.OpenCaller(request);
    auto second = fixture.OpenCaller(request);
    CHECK(fixture.RunUntil([&] { return gate.waiting.size() == 2; }));
    CHECK_FALSE(fixture.server->IsIdle());
    CHECK(fixture.server->GetStats().attempts == 0);
    gate.Settle({.verdict = Gate::Verdict::kAdmitted});
    gate.Settle({.verdict = Gate::Verdict::kRefused});
    CHECK(fixture.RunUntil([&] {
      return first->AnswerCount() == 1 && second->AnswerCount() == 1;
    }));
    const int refused =
        (first->received().starts_with("HTTP/1.1 429") ? 1 : 0) +
        (second->received().starts_with("HTTP/1.1 429") ? 1 : 0);
    CHECK(refused == 1);
  }
  SUBCASE("forgets a waiting request whose caller leaves") {
    gate.answer.verdict = Gate::Verdict::kWaiting;
    auto caller = fixture.OpenCaller(request);
    CHECK(fixture.RunUntil([&] { return gate.waiting.size() == 1; }));
    caller.reset();
    CHECK(fixture.RunUntil([&] { return gate.cancelled == 1; }));
    CHECK(fixture.server->IsIdle());
  }
  SUBCASE("forgets a waiting request that a planned stop refuses") {
    gate.answer.verdict = Gate::Verdict::kWaiting;
    auto caller = fixture.OpenCaller(request);
    CHECK(fixture.RunUntil([&] { return gate.waiting.size() == 1; }));
    fixture.server->SetDrainState(edge::DrainState::kRefusing);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->received().starts_with("HTTP/1.1 503"));
    CHECK(gate.cancelled == 1);
    CHECK(fixture.server->IsIdle());
  }
  SUBCASE("forgets waiting requests of a connection that is dropped") {
    gate.answer.verdict = Gate::Verdict::kWaiting;
    auto caller = fixture.OpenCaller(
        request + Request("POST", "/x", "Content-Length: 400000\r\n") +
        std::string(200'000, 'y'));
    CHECK(fixture.RunUntil([&] { return caller->closed(); }));
    CHECK(caller->AnswerCount() == 2);
    CHECK(caller->LastStatus() == 503);
    CHECK(gate.cancelled == 2);
    CHECK(gate.waiting.empty());
    CHECK(fixture.server->IsIdle());
  }
  SUBCASE("leaves alone what runs behind a request that a stop refuses") {
    gate.answer.verdict = Gate::Verdict::kWaiting;
    auto caller = fixture.OpenCaller(request);
    CHECK(fixture.RunUntil([&] { return gate.waiting.size() == 1; }));
    gate.answer = {};
    caller->Send(Request("GET", "/y?work_ms=200"));
    CHECK(fixture.RunUntil(
        [&] { return fixture.backend(0).counts().started == 1; }));
    fixture.server->SetDrainState(edge::DrainState::kRefusing);
    CHECK(fixture.RunUntil(
        [&] { return caller->AnswerCount() == 2 || caller->closed(); }));
    CHECK(caller->received().starts_with("HTTP/1.1 503"));
    CHECK(caller->LastStatus() == 200);
    CHECK(fixture.RunUntil([&] { return caller->closed(); }));
  }
}

}  // namespace comfreystand::testing
