#include <doctest/doctest.h>

#include <event2/buffer.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "src/edge/http_connection.h"
#include "tests/support/edge_fixture.h"

namespace comfreystand::testing {
namespace {

using steer::AttemptEvent;

constexpr char kCloseHeader[] = "Connection: close\r\n";
const std::string kNotIdempotentHeader = "Comfreystand-Idempotent: no\r\n";

std::string OperationHeader(const std::string& id) {
  return "Comfreystand-Operation: " + id + "\r\n";
}

std::string FillerBody(size_t size) {
  return std::string(size, 'y');
}

TEST_CASE("look-up") {
  EdgeFixture fixture;
  SUBCASE("returns the sites in order and their time to live") {
    const auto caller = fixture.SendUntilClosed(
        "GET /v1/lookup?client=192.0.2.7 HTTP/1.1\r\n"
        "Connection: close\r\n\r\n");
    CHECK(caller->LastStatus() == 200);
    CHECK(caller->HasReceived("Cache-Control: max-age=30"));
    CHECK(
        caller->HasReceived("{\"ttl_ms\":30000,\"sites\":[{\"site\":\"west\""));
    CHECK(caller->HasReceived(
        "{\"site\":\"south\",\"entry_vms\":[\"10.1.0.1:80\"]}]}"));
    CHECK(fixture.lookup.last_client.bytes[12] == 192);
  }
  SUBCASE("uses the caller's address when no client parameter is given") {
    const auto caller = fixture.SendUntilClosed(
        "GET /v1/lookup HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller->LastStatus() == 200);
    CHECK(fixture.lookup.last_client.bytes[12] == 127);
  }
  SUBCASE("lists different entry VMs first for different address blocks") {
    int first = 0;
    for (int block = 0; block < 16; ++block) {
      const auto caller = fixture.SendUntilClosed(
          "GET /v1/lookup?client=192.0." + std::to_string(block) +
          ".7 HTTP/1.1\r\nConnection: close\r\n\r\n");
      first += caller->HasReceived("[\"10.0.0.1:80\",\"10.0.0.2:80\"]") ? 1 : 0;
    }
    CHECK(first > 0);
    CHECK(first < 16);
  }
  SUBCASE("keeps the connection open, with and without pipelining") {
    const std::string one = "GET /v1/lookup?client=::1 HTTP/1.1\r\n\r\n";
    const auto caller = fixture.OpenCaller(one + one + one);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 3; }));
    caller->Send(one);
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 4; }));
    CHECK_FALSE(caller->closed());
  }
  SUBCASE("omits sites without entry VMs") {
    fixture.server->SetSites({{SiteId(1), "south", {"10.1.0.9:80"}}});
    const auto caller = fixture.SendUntilClosed(
        "GET /v1/lookup HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller->HasReceived(
        "\"sites\":[{\"site\":\"south\",\"entry_vms\":[\"10.1.0.9:80\"]}]"));
  }
}

TEST_CASE("relayed request") {
  EdgeFixture fixture;
  SUBCASE("receives the complete answer of a backend server") {
    for (const char* framing : {"", "&chunked=1", "&close=1"}) {
      CAPTURE(std::string(framing));
      const auto caller = fixture.SendUntilClosed(
          Request("GET", std::string("/a?body_bytes=1000000") + framing,
                  kCloseHeader + OperationHeader("op-1")));
      CHECK(caller->LastStatus() == 200);
      CHECK(caller->HasReceived("Comfreystand-Verdict: ran"));
      CHECK(caller->HasReceived("op-1\nxxx"));
      CHECK(caller->received().size() > 1'000'000);
      CHECK_FALSE(caller->failed());
    }
    CHECK(fixture.backend(0).StartCount("op-1") == 3);
  }
  SUBCASE("passes the caller's headers to the dispatcher") {
    fixture.SendUntilClosed(Request("POST", "/a",
                                    std::string(kCloseHeader) +
                                        "Comfreystand-Class: report\r\n"
                                        "Comfreystand-Idempotent: yes\r\n"
                                        "Comfreystand-Caller: yard\r\n"
                                        "Comfreystand-Deadline-Ms: 5000\r\n"));
    REQUIRE(fixture.dispatcher.submitted.size() == 1);
    const auto& traits = fixture.dispatcher.submitted[0];
    CHECK(traits.service == ServiceId(0));
    CHECK(traits.request_class == ClassId(1));
    CHECK(traits.idempotent);
    CHECK(traits.deadline - traits.arrival == std::chrono::seconds(5));
  }
  SUBCASE("is idempotent by default only for GET and HEAD") {
    for (const char* method : {"GET", "HEAD", "POST", "PUT", "DELETE"}) {
      fixture.SendUntilClosed(Request(method, "/a", kCloseHeader));
    }
    std::vector<bool> idempotent;
    for (const auto& traits : fixture.dispatcher.submitted) {
      idempotent.push_back(traits.idempotent);
    }
    CHECK(idempotent == std::vector<bool>{true, true, false, false, false});
  }
  SUBCASE("with HEAD is answered without a body") {
    const auto caller = fixture.OpenCaller(
        Request("HEAD", "/a?body_bytes=500") + Request("GET", "/b"));
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 2; }));
    CHECK(fixture.RunUntilIdle());
    CHECK_FALSE(caller->HasReceived("xxx"));
  }
  SUBCASE("pipelined requests are answered in order") {
    const auto caller = fixture.OpenCaller(
        Request("GET", "/a?work_ms=30", OperationHeader("first")) +
        Request("GET", "/b?work_ms=1", OperationHeader("second")) +
        "GET /v1/lookup HTTP/1.1\r\n\r\n");
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 3; }));
    CHECK(caller->received().find("first") < caller->received().find("second"));
    CHECK(caller->received().find("second") < caller->received().find("ttl"));
  }
  SUBCASE("streams a request body of known or unknown length") {
    const std::string body = FillerBody(3'000'000);
    const std::string hash = std::to_string(StableHash(body));
    const auto known =
        fixture.SendUntilClosed(Request("POST", "/a", kCloseHeader, body));
    CHECK(known->LastStatus() == 200);
    CHECK(known->HasReceived("Comfreystand-Body-Hash: " + hash));
    const auto chunked = fixture.SendUntilClosed(
        Request("POST", "/a",
                std::string(kCloseHeader) + "Transfer-Encoding: chunked\r\n") +
        "1e8480\r\n" + body.substr(0, 2'000'000) + "\r\nf4240\r\n" +
        body.substr(2'000'000) + "\r\n0\r\n\r\n");
    CHECK(chunked->LastStatus() == 200);
    CHECK(chunked->HasReceived("Comfreystand-Body-Hash: " + hash));
  }
  SUBCASE("reuses the connection to the backend server") {
    for (int i = 0; i < 5; ++i) {
      fixture.SendUntilClosed(Request("GET", "/a", kCloseHeader));
    }
    CHECK(fixture.backend(0).counts().connections == 1);
    CHECK(fixture.server->GetStats().connections_reused == 4);
  }
}

TEST_CASE("a slow reader applies backpressure to the backend server") {
  EdgeFixture fixture;
  const auto caller = fixture.OpenCaller(Request(
      "GET", "/a?body_bytes=40000000", kCloseHeader + OperationHeader("big")));
  caller->SetReading(false);
  CHECK(fixture.RunUntil(
      [&] { return fixture.server->GetStats().answers_delivered; }));
  caller->SetReading(true);
  CHECK(fixture.RunUntil([&] { return caller->closed(); }));
  CHECK(caller->received().size() > 40'000'000);
  CHECK_FALSE(caller->failed());
}

TEST_CASE("the verdict depends on what was sent and received") {
  struct Case {
    const char* name;
    const char* headers;
    const char* path;
    // Behaviour of the backend server stand-in.
    const char* control;
    int status;
    const char* verdict;
    AttemptEvent event;
  };
  const Case cases[] = {
      {"refused by the backend server", "Comfreystand-Idempotent: no\r\n", "/a",
       R"({"shedding":true})", 502, "not-run", AttemptEvent::kRefused},
      {"created", "Comfreystand-Idempotent: no\r\n", "/a?status=201", "{}", 201,
       "ran", AttemptEvent::kAnswered},
      {"error", "Comfreystand-Idempotent: no\r\n", "/a?status=500", "{}", 500,
       "ran", AttemptEvent::kAnswered},
      {"gateway error", "Comfreystand-Idempotent: no\r\n", "/a?status=502",
       "{}", 502, "may-have-run", AttemptEvent::kAnswered},
      {"deadline exceeded while running", "Comfreystand-Deadline-Ms: 50\r\n",
       "/a?work_ms=60000", "{}", 504, "may-have-run", AttemptEvent::kBroken},
      {"deadline exceeded before the start", "Comfreystand-Deadline-Ms: 50\r\n",
       "/a", R"({"slots":0})", 504, "may-have-run",
       AttemptEvent::kCancelledBeforeStart},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    EdgeFixture fixture;
    CHECK(fixture.backend(0).ApplyControl(c.control));
    const auto caller = fixture.SendUntilClosed(
        Request("POST", c.path, std::string(kCloseHeader) + c.headers));
    CHECK(caller->LastStatus() == c.status);
    CHECK(
        caller->HasReceived(std::string("Comfreystand-Verdict: ") + c.verdict));
    CHECK(fixture.RunUntil(
        [&] { return fixture.dispatcher.ReportCount(c.event) > 0; }));
  }
}

TEST_CASE("a request without a backend connection did not run") {
  EdgeFixture fixture;
  // The port of a stand-in that was already destroyed.
  const std::string gone = EdgeFixture().backend(0).address();
  fixture.server->SetBackends({{BackendId(0), gone}});
  const auto caller = fixture.SendUntilClosed(
      Request("POST", "/a", kCloseHeader + kNotIdempotentHeader));
  CHECK(caller->LastStatus() == 502);
  CHECK(caller->HasReceived("Comfreystand-Verdict: not-run"));
  CHECK(fixture.dispatcher.ReportCount(AttemptEvent::kWritten) == 0);
  CHECK(fixture.dispatcher.ReportCount(AttemptEvent::kConnectFailed) == 3);
}

TEST_CASE("a truncated answer is never delivered as complete") {
  EdgeFixture fixture;
  SUBCASE("truncated before its head") {
    const auto caller = fixture.OpenCaller(
        Request("POST", "/a?work_ms=60000", kNotIdempotentHeader));
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 1; }));
    fixture.backend(0).CloseOpenConnections();
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->LastStatus() == 502);
    CHECK(caller->HasReceived("Comfreystand-Verdict: may-have-run"));
  }
  SUBCASE("truncated in its body") {
    const auto caller =
        fixture.SendUntilClosed(Request("GET", "/a?body_bytes=900&cut=400"));
    CHECK(caller->failed());
    CHECK(fixture.FaultCount(edge::Fault::kAnswerTruncated) == 1);
  }
}

TEST_CASE("a caller that disconnects") {
  EdgeFixture fixture;
  auto caller = fixture.OpenCaller(
      Request("GET", "/a?work_ms=60000", OperationHeader("x")));
  SUBCASE("while its request runs cancels the request") {
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 1; }));
    caller->Close();
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 0; }));
    CHECK(fixture.backend(0).counts().cancelled_running == 1);
    // The backend server answered, so the connection is reusable.
    CHECK(fixture.RunUntil([&] {
      return fixture.server->GetStats().idle_backend_connections == 2;
    }));
  }
  SUBCASE("with a reset cancels the request too") {
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 1; }));
    caller->Reset();
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 0; }));
  }
  CHECK(fixture.dispatcher.cancelled_requests == 1);
  CHECK(fixture.RunUntilIdle());
}

// An exchange whose request is no longer wanted once it could be sent.
class UnwantedExchange final : public edge::Exchange,
                               public edge::HttpConnectionDelegate {
 public:
  bool IsStillWanted() override { return false; }
  void OnFirstByteWritten() override {}
  void OnAnswerHead(edge::AnswerHead head) override {}
  void OnAnswerBody(const char* data, size_t size) override {}
  void OnAnswerComplete() override {}
  void OnExchangeFailed(edge::ExchangeFailure failure, bool sent) override {
    ended = true;
    written = sent;
  }
  void OnConnected(edge::HttpConnection* connection) override {}
  void OnIdle(edge::HttpConnection* connection) override {}
  void OnClosed(edge::HttpConnection* connection,
                edge::ExchangeFailure failure) override {}

  bool ended = false;
  bool written = false;
};

TEST_CASE("a request of a caller that left while connecting is not sent") {
  EdgeFixture fixture;
  sockaddr_in address;
  REQUIRE(edge::ParseAddress(fixture.backend(0).address(), &address));
  UnwantedExchange exchange;
  edge::HttpConnection connection(fixture.base.get(), address,
                                  {.connect = std::chrono::seconds(5),
                                   .progress = std::chrono::seconds(5),
                                   .unacknowledged = std::chrono::seconds(5)},
                                  &exchange);
  REQUIRE(connection.Connect());
  const auto request = NewBuffer();
  evbuffer_add_printf(request.get(), "GET /a HTTP/1.1\r\nHost: b\r\n\r\n");
  connection.Start(&exchange, request.get(), false);
  CHECK(fixture.RunUntil([&] { return exchange.ended; }));
  CHECK_FALSE(exchange.written);
  CHECK(fixture.RunUntil(
      [&] { return fixture.backend(0).counts().connections == 1; }));
  CHECK(fixture.backend(0).counts().requests == 0);
}

TEST_CASE("hedged request") {
  EdgeFixture fixture(2);
  fixture.dispatcher.hedge = true;
  SUBCASE("delivers one answer and cancels the other attempt") {
    fixture.backend(0).behaviour().work_factor = 1'000;
    const auto caller = fixture.SendUntilClosed(
        Request("GET", "/a?work_ms=5", kCloseHeader + OperationHeader("h")));
    CHECK(caller->AnswerCount() == 1);
    CHECK(caller->HasReceived("h\n"));
    CHECK(fixture.RunUntil(
        [&] { return fixture.backend(0).counts().cancelled_running == 1; }));
  }
  SUBCASE("discards the second answer") {
    for (size_t i = 0; i < 2; ++i) {
      fixture.backend(i).behaviour().supports_cancel = false;
    }
    for (int i = 0; i < 20; ++i) {
      const std::string id = "op-" + std::to_string(i);
      const auto caller = fixture.SendUntilClosed(
          Request("GET", "/a?work_ms=1", kCloseHeader + OperationHeader(id)));
      CHECK(caller->AnswerCount() == 1);
      CHECK(caller->HasReceived(id + "\n"));
    }
  }
}

TEST_CASE("unresponsive backend connections") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.backend_timeout = std::chrono::milliseconds(150);
  init.cancel_timeout = std::chrono::milliseconds(150);
  EdgeFixture fixture(1, init);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 6; ++i) {
    callers.push_back(fixture.OpenCaller(Request("GET", "/a?work_ms=20")));
  }
  CHECK(fixture.RunUntil([&] {
    return fixture.server->GetStats().idle_backend_connections == 6;
  }));
  fixture.backend(0).SilenceOpenConnections();
  SUBCASE("are all closed when one of them is detected") {
    const auto caller =
        fixture.SendUntilClosed(Request("GET", "/b", kCloseHeader));
    CHECK(caller->LastStatus() == 200);
    const edge::Stats stats = fixture.server->GetStats();
    CHECK(stats.unresponsive_connections == 1);
    CHECK(stats.suspect_connections_closed >= 4);
  }
  SUBCASE("do not run a non-idempotent request twice") {
    const auto caller = fixture.SendUntilClosed(
        Request("POST", "/b",
                kCloseHeader + kNotIdempotentHeader + OperationHeader("book")));
    CHECK(caller->LastStatus() == 502);
    CHECK(caller->HasReceived("Comfreystand-Verdict: may-have-run"));
    CHECK(fixture.backend(0).StartCount("book") == 0);
  }
  SUBCASE("are detected by a cancellation too") {
    const auto caller = fixture.SendUntilClosed(Request(
        "GET", "/b",
        std::string(kCloseHeader) + "Comfreystand-Deadline-Ms: 20\r\n"));
    CHECK(caller->LastStatus() == 504);
    CHECK(fixture.RunUntil([&] {
      return fixture.server->GetStats().unresponsive_connections > 0;
    }));
  }
}

TEST_CASE("tickets") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.require_tickets = true;
  EdgeFixture fixture(1, init);
  const auto issued = fixture.SendUntilClosed(
      "GET /v1/ticket HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(issued->HasReceived("{\"ticket\":\"ours-1\"}"));
  struct Case {
    const char* name;
    const char* ticket;
    int status;
    const char* verdict;
  };
  const Case cases[] = {
      {"none", "", 428, "not-run"},
      {"first use", "Comfreystand-Ticket: ours-1\r\n", 200, "ran"},
      {"second use", "Comfreystand-Ticket: ours-1\r\n", 409, "may-have-run"},
      {"another issuer", "Comfreystand-Ticket: theirs-1\r\n", 421,
       "may-have-run"},
      {"malformed", "Comfreystand-Ticket: x\r\n", 400, "not-run"},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    const auto caller = fixture.SendUntilClosed(
        Request("POST", "/a", std::string(kCloseHeader) + c.ticket));
    CHECK(caller->LastStatus() == c.status);
    CHECK(
        caller->HasReceived(std::string("Comfreystand-Verdict: ") + c.verdict));
  }
  SUBCASE("are not required for idempotent requests") {
    CHECK(fixture.SendUntilClosed(Request("GET", "/a", kCloseHeader))
              ->LastStatus() == 200);
  }
}

TEST_CASE("planned stop") {
  EdgeFixture fixture;
  const auto running = fixture.OpenCaller(Request("GET", "/a?work_ms=50"));
  CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 1; }));
  SUBCASE("lets requests finish and closes their connections") {
    fixture.server->SetDrainState(edge::DrainState::kDraining);
    const auto late = fixture.SendUntilClosed(Request("GET", "/b"));
    CHECK(late->LastStatus() == 200);
    CHECK(late->HasReceived("Connection: close"));
  }
  SUBCASE("refuses new requests with the verdict not-run") {
    fixture.server->SetDrainState(edge::DrainState::kRefusing);
    const auto late =
        fixture.SendUntilClosed(Request("GET", "/b", kCloseHeader));
    CHECK(late->LastStatus() == 503);
    CHECK(late->HasReceived("Comfreystand-Verdict: not-run"));
    CHECK(late->HasReceived("Retry-After: 1"));
  }
  CHECK(fixture.RunUntil([&] { return running->AnswerCount() == 1; }));
  CHECK(running->LastStatus() == 200);
  CHECK(fixture.RunUntilIdle());
}

TEST_CASE("backend servers") {
  EdgeFixture fixture(2);
  SUBCASE("report their state in their answers") {
    fixture.backend(0).behaviour().leaving = true;
    fixture.SendUntilClosed(Request("GET", "/a", kCloseHeader));
    const auto& report = fixture.dispatcher.reports.back();
    CHECK(report.leaving);
    CHECK(report.reported_free_slots == 3);
  }
  SUBCASE("answer probes") {
    fixture.dispatcher.StartProbe(BackendId(0));
    fixture.dispatcher.StartProbe(BackendId(7));
    fixture.server->ScheduleActions();
    CHECK(fixture.RunUntil(
        [&] { return fixture.dispatcher.probe_results.size() == 2; }));
    std::sort(fixture.dispatcher.probe_results.begin(),
              fixture.dispatcher.probe_results.end());
    CHECK(fixture.dispatcher.probe_results[0] == std::pair(BackendId(0), true));
    CHECK(fixture.dispatcher.probe_results[1] ==
          std::pair(BackendId(7), false));
  }
  SUBCASE("are polled for their load only while connected") {
    edge::ServerInit init;
    init.load_poll_interval = std::chrono::milliseconds(10);
    EdgeFixture polling(2, init);
    polling.backend(0).behaviour().reported_busy = 2;
    polling.SendUntilClosed(Request("GET", "/a", kCloseHeader));
    CHECK(polling.RunUntil(
        [&] { return polling.dispatcher.load_reports.size() >= 2; }));
    CHECK(polling.dispatcher.load_reports.back().busy == Slots{2});
    CHECK(polling.backend(1).counts().connections == 0);
  }
  SUBCASE("can be replaced while requests are in flight") {
    const auto caller = fixture.OpenCaller(Request("GET", "/a?work_ms=50"));
    CHECK(fixture.RunUntil([&] { return fixture.backend(0).busy() == 1; }));
    fixture.server->SetBackends({{BackendId(1), fixture.backend(1).address()}});
    fixture.dispatcher.backends = {BackendId(1)};
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->LastStatus() == 200);
    CHECK(fixture.SendUntilClosed(Request("GET", "/b", kCloseHeader))
              ->LastStatus() == 200);
    CHECK(fixture.backend(1).counts().started == 1);
  }
}

}  // namespace
}  // namespace comfreystand::testing
