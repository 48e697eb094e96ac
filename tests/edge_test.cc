#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/edge_world.h"

namespace comfreystand::testing {
namespace {

using steer::AttemptEvent;

constexpr char kClose[] = "Connection: close\r\n";
const std::string kNotIdempotent = "Comfreystand-Idempotent: no\r\n";

std::string Operation(const std::string& id) {
  return "Comfreystand-Operation: " + id + "\r\n";
}

std::string Filler(size_t size) {
  return std::string(size, 'y');
}

TEST_CASE("a look-up") {
  EdgeWorld world;
  SUBCASE("names the sites in order and how long to keep them") {
    const auto caller = world.Fetch(
        "GET /v1/lookup?client=192.0.2.7 HTTP/1.1\r\n"
        "Connection: close\r\n\r\n");
    CHECK(caller->Status() == 200);
    CHECK(caller->Has("Cache-Control: max-age=30"));
    CHECK(caller->Has("{\"ttl_ms\":30000,\"sites\":[{\"site\":\"west\""));
    CHECK(
        caller->Has("{\"site\":\"south\",\"entry_vms\":[\"10.1.0.1:80\"]}]}"));
    CHECK(world.lookup.last.bytes[12] == 192);
  }
  SUBCASE("takes the caller's own address when none is named") {
    const auto caller =
        world.Fetch("GET /v1/lookup HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller->Status() == 200);
    CHECK(world.lookup.last.bytes[12] == 127);
  }
  SUBCASE("starts clients of different blocks at different entry VMs") {
    int first = 0;
    for (int block = 0; block < 16; ++block) {
      const auto caller =
          world.Fetch("GET /v1/lookup?client=192.0." + std::to_string(block) +
                      ".7 HTTP/1.1\r\nConnection: close\r\n\r\n");
      first += caller->Has("[\"10.0.0.1:80\",\"10.0.0.2:80\"]") ? 1 : 0;
    }
    CHECK(first > 0);
    CHECK(first < 16);
  }
  SUBCASE("keeps the connection for the next one, pipelined or not") {
    const std::string one = "GET /v1/lookup?client=::1 HTTP/1.1\r\n\r\n";
    const auto caller = world.Call(one + one + one);
    CHECK(world.Until([&] { return caller->Answers() == 3; }));
    caller->Send(one);
    CHECK(world.Until([&] { return caller->Answers() == 4; }));
    CHECK_FALSE(caller->closed());
  }
  SUBCASE("leaves out sites that have no entry VM") {
    world.server->SetSites({{SiteId(1), "south", {"10.1.0.9:80"}}});
    const auto caller =
        world.Fetch("GET /v1/lookup HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller->Has(
        "\"sites\":[{\"site\":\"south\",\"entry_vms\":[\"10.1.0.9:80\"]}]"));
  }
}

TEST_CASE("a request") {
  EdgeWorld world;
  SUBCASE("gets the whole answer of a backend server") {
    for (const char* framing : {"", "&chunked=1", "&close=1"}) {
      CAPTURE(std::string(framing));
      const auto caller = world.Fetch(
          Request("GET", std::string("/a?body_bytes=1000000") + framing,
                  kClose + Operation("op-1")));
      CHECK(caller->Status() == 200);
      CHECK(caller->Has("Comfreystand-Verdict: ran"));
      CHECK(caller->Has("op-1\nxxx"));
      CHECK(caller->received().size() > 1'000'000);
      CHECK_FALSE(caller->failed());
    }
    CHECK(world.backend(0).Starts("op-1") == 3);
  }
  SUBCASE("carries what the caller said to the dispatcher") {
    world.Fetch(Request("POST", "/a",
                        std::string(kClose) +
                            "Comfreystand-Class: report\r\n"
                            "Comfreystand-Idempotent: yes\r\n"
                            "Comfreystand-Caller: yard\r\n"
                            "Comfreystand-Deadline-Ms: 5000\r\n"));
    REQUIRE(world.dispatcher.submitted.size() == 1);
    const auto& traits = world.dispatcher.submitted[0];
    CHECK(traits.service == ServiceId(0));
    CHECK(traits.request_class == ClassId(1));
    CHECK(traits.idempotent);
    CHECK(traits.deadline - traits.arrival == std::chrono::seconds(5));
  }
  SUBCASE("is idempotent by default only when it reads") {
    for (const char* method : {"GET", "HEAD", "POST", "PUT", "DELETE"}) {
      world.Fetch(Request(method, "/a", kClose));
    }
    std::vector<bool> idempotent;
    for (const auto& traits : world.dispatcher.submitted) {
      idempotent.push_back(traits.idempotent);
    }
    CHECK(idempotent == std::vector<bool>{true, true, false, false, false});
  }
  SUBCASE("to HEAD ends with the head") {
    const auto caller =
        world.Call(Request("HEAD", "/a?body_bytes=500") + Request("GET", "/b"));
    CHECK(world.Until([&] { return caller->Answers() == 2; }));
    CHECK(world.UntilIdle());
    CHECK_FALSE(caller->Has("xxx"));
  }
  SUBCASE("waits its turn behind another of the same connection") {
    const auto caller =
        world.Call(Request("GET", "/a?work_ms=30", Operation("first")) +
                   Request("GET", "/b?work_ms=1", Operation("second")) +
                   "GET /v1/lookup HTTP/1.1\r\n\r\n");
    CHECK(world.Until([&] { return caller->Answers() == 3; }));
    CHECK(caller->received().find("first") < caller->received().find("second"));
    CHECK(caller->received().find("second") < caller->received().find("ttl"));
  }
  SUBCASE("streams a body of known or unknown length") {
    const std::string body = Filler(3'000'000);
    const std::string hash = std::to_string(StableHash(body));
    const auto known = world.Fetch(Request("POST", "/a", kClose, body));
    CHECK(known->Status() == 200);
    CHECK(known->Has("Comfreystand-Body-Hash: " + hash));
    const auto chunked = world.Fetch(
        Request("POST", "/a",
                std::string(kClose) + "Transfer-Encoding: chunked\r\n") +
        "1e8480\r\n" + body.substr(0, 2'000'000) + "\r\nf4240\r\n" +
        body.substr(2'000'000) + "\r\n0\r\n\r\n");
    CHECK(chunked->Status() == 200);
    CHECK(chunked->Has("Comfreystand-Body-Hash: " + hash));
  }
  SUBCASE("reuses the connection to the backend server") {
    for (int i = 0; i < 5; ++i) {
      world.Fetch(Request("GET", "/a", kClose));
    }
    CHECK(world.backend(0).counts().connections == 1);
    CHECK(world.server->GetStats().connections_reused == 4);
  }
}

TEST_CASE("a caller that reads slowly holds back the backend server") {
  EdgeWorld world;
  const auto caller = world.Call(
      Request("GET", "/a?body_bytes=40000000", kClose + Operation("big")));
  caller->SetReading(false);
  CHECK(
      world.Until([&] { return world.server->GetStats().answers_delivered; }));
  caller->SetReading(true);
  CHECK(world.Until([&] { return caller->closed(); }));
  CHECK(caller->received().size() > 40'000'000);
  CHECK_FALSE(caller->failed());
}

TEST_CASE("a verdict follows from what was written and read") {
  struct Case {
    const char* name;
    const char* headers;
    const char* path;
    // What is wrong with the backend server.
    const char* control;
    int status;
    const char* verdict;
    AttemptEvent event;
  };
  const Case cases[] = {
      {"shed", "Comfreystand-Idempotent: no\r\n", "/a", R"({"shedding":true})",
       502, "not-run", AttemptEvent::kRefused},
      {"created", "Comfreystand-Idempotent: no\r\n", "/a?status=201", "{}", 201,
       "ran", AttemptEvent::kAnswered},
      {"error", "Comfreystand-Idempotent: no\r\n", "/a?status=500", "{}", 500,
       "ran", AttemptEvent::kAnswered},
      {"gateway error", "Comfreystand-Idempotent: no\r\n", "/a?status=502",
       "{}", 502, "may-have-run", AttemptEvent::kAnswered},
      {"too slow", "Comfreystand-Deadline-Ms: 50\r\n", "/a?work_ms=60000", "{}",
       504, "may-have-run", AttemptEvent::kBroken},
      {"never started", "Comfreystand-Deadline-Ms: 50\r\n", "/a",
       R"({"slots":0})", 504, "may-have-run",
       AttemptEvent::kCancelledBeforeStart},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    EdgeWorld world;
    CHECK(world.backend(0).Control(c.control));
    const auto caller =
        world.Fetch(Request("POST", c.path, std::string(kClose) + c.headers));
    CHECK(caller->Status() == c.status);
    CHECK(caller->Has(std::string("Comfreystand-Verdict: ") + c.verdict));
    CHECK(world.Until([&] { return world.dispatcher.Count(c.event) > 0; }));
  }
}

TEST_CASE("without a connection nothing ran") {
  EdgeWorld world;
  // A port that nothing listens on any more.
  const std::string gone = EdgeWorld().backend(0).address();
  world.server->SetBackends({{BackendId(0), gone}});
  const auto caller =
      world.Fetch(Request("POST", "/a", kClose + kNotIdempotent));
  CHECK(caller->Status() == 502);
  CHECK(caller->Has("Comfreystand-Verdict: not-run"));
  CHECK(world.dispatcher.Count(AttemptEvent::kWritten) == 0);
  CHECK(world.dispatcher.Count(AttemptEvent::kConnectFailed) == 3);
}

TEST_CASE("a broken answer is never a short whole one") {
  EdgeWorld world;
  SUBCASE("when it breaks before its head") {
    const auto caller =
        world.Call(Request("POST", "/a?work_ms=60000", kNotIdempotent));
    CHECK(world.Until([&] { return world.backend(0).busy() == 1; }));
    world.backend(0).CloseOpenConnections();
    CHECK(world.Until([&] { return caller->Answers() == 1; }));
    CHECK(caller->Status() == 502);
    CHECK(caller->Has("Comfreystand-Verdict: may-have-run"));
  }
  SUBCASE("when it breaks in its body") {
    const auto caller =
        world.Fetch(Request("GET", "/a?body_bytes=900&cut=400"));
    CHECK(caller->failed());
    CHECK(world.Faults(edge::Fault::kAnswerTruncated) == 1);
  }
}

TEST_CASE("a caller that leaves") {
  EdgeWorld world;
  auto caller = world.Call(Request("GET", "/a?work_ms=60000", Operation("x")));
  SUBCASE("while its request runs has it cancelled") {
    CHECK(world.Until([&] { return world.backend(0).busy() == 1; }));
    caller->Close();
    CHECK(world.Until([&] { return world.backend(0).busy() == 0; }));
    CHECK(world.backend(0).counts().cancelled_running == 1);
    // The backend server answered, so the connection is still good.
    CHECK(world.Until([&] {
      return world.server->GetStats().idle_backend_connections == 2;
    }));
  }
  SUBCASE("by a reset is noticed too") {
    CHECK(world.Until([&] { return world.backend(0).busy() == 1; }));
    caller->Reset();
    CHECK(world.Until([&] { return world.backend(0).busy() == 0; }));
  }
  CHECK(world.dispatcher.cancelled_requests == 1);
  CHECK(world.UntilIdle());
}

TEST_CASE("a hedge") {
  EdgeWorld world(2);
  world.dispatcher.hedge = true;
  SUBCASE("gives one answer and cancels the other attempt") {
    world.backend(0).behaviour().slowness = 1'000;
    const auto caller =
        world.Fetch(Request("GET", "/a?work_ms=5", kClose + Operation("h")));
    CHECK(caller->Answers() == 1);
    CHECK(caller->Has("h\n"));
    CHECK(world.Until(
        [&] { return world.backend(0).counts().cancelled_running == 1; }));
  }
  SUBCASE("drops and counts the answer that comes second") {
    for (size_t i = 0; i < 2; ++i) {
      world.backend(i).behaviour().cancels = false;
    }
    for (int i = 0; i < 20; ++i) {
      const std::string id = "op-" + std::to_string(i);
      const auto caller =
          world.Fetch(Request("GET", "/a?work_ms=1", kClose + Operation(id)));
      CHECK(caller->Answers() == 1);
      CHECK(caller->Has(id + "\n"));
    }
  }
}

TEST_CASE("silent connections") {
  edge::ServerInit init;
  init.backend_timeout = std::chrono::milliseconds(150);
  init.cancel_timeout = std::chrono::milliseconds(150);
  EdgeWorld world(1, init);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 6; ++i) {
    callers.push_back(world.Call(Request("GET", "/a?work_ms=20")));
  }
  CHECK(world.Until(
      [&] { return world.server->GetStats().idle_backend_connections == 6; }));
  world.backend(0).SilenceOpenConnections();
  SUBCASE("are found by one and given up together") {
    const auto caller = world.Fetch(Request("GET", "/b", kClose));
    CHECK(caller->Status() == 200);
    const edge::Stats stats = world.server->GetStats();
    CHECK(stats.silent_connections == 1);
    CHECK(stats.condemned_connections >= 4);
  }
  SUBCASE("do not make a booking run twice") {
    const auto caller = world.Fetch(
        Request("POST", "/b", kClose + kNotIdempotent + Operation("book")));
    CHECK(caller->Status() == 502);
    CHECK(caller->Has("Comfreystand-Verdict: may-have-run"));
    CHECK(world.backend(0).Starts("book") == 0);
  }
  SUBCASE("are found by a cancellation too") {
    const auto caller = world.Fetch(Request(
        "GET", "/b", std::string(kClose) + "Comfreystand-Deadline-Ms: 20\r\n"));
    CHECK(caller->Status() == 504);
    CHECK(world.Until(
        [&] { return world.server->GetStats().silent_connections > 0; }));
  }
}

TEST_CASE("tickets") {
  edge::ServerInit init;
  init.require_tickets = true;
  EdgeWorld world(1, init);
  const auto issued =
      world.Fetch("GET /v1/ticket HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(issued->Has("{\"ticket\":\"ours-1\"}"));
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
      {"another's", "Comfreystand-Ticket: theirs-1\r\n", 421, "may-have-run"},
      {"garbage", "Comfreystand-Ticket: x\r\n", 400, "not-run"},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    const auto caller =
        world.Fetch(Request("POST", "/a", std::string(kClose) + c.ticket));
    CHECK(caller->Status() == c.status);
    CHECK(caller->Has(std::string("Comfreystand-Verdict: ") + c.verdict));
  }
  SUBCASE("are not asked of idempotent requests") {
    CHECK(world.Fetch(Request("GET", "/a", kClose))->Status() == 200);
  }
}

TEST_CASE("a planned stop") {
  EdgeWorld world;
  const auto running = world.Call(Request("GET", "/a?work_ms=50"));
  CHECK(world.Until([&] { return world.backend(0).busy() == 1; }));
  SUBCASE("lets requests finish and closes connections after them") {
    world.server->SetDrainState(edge::DrainState::kDraining);
    const auto late = world.Fetch(Request("GET", "/b"));
    CHECK(late->Status() == 200);
    CHECK(late->Has("Connection: close"));
  }
  SUBCASE("refuses new requests as not run in the end") {
    world.server->SetDrainState(edge::DrainState::kRefusing);
    const auto late = world.Fetch(Request("GET", "/b", kClose));
    CHECK(late->Status() == 503);
    CHECK(late->Has("Comfreystand-Verdict: not-run"));
    CHECK(late->Has("Retry-After: 1"));
  }
  CHECK(world.Until([&] { return running->Answers() == 1; }));
  CHECK(running->Status() == 200);
  CHECK(world.UntilIdle());
}

TEST_CASE("backend servers") {
  EdgeWorld world(2);
  SUBCASE("say how they are with their answers") {
    world.backend(0).behaviour().leaving = true;
    world.Fetch(Request("GET", "/a", kClose));
    const auto& report = world.dispatcher.reports.back();
    CHECK(report.leaving);
    CHECK(report.reported_free_slots == 3);
  }
  SUBCASE("answer probes") {
    world.dispatcher.StartProbe(BackendId(0));
    world.dispatcher.StartProbe(BackendId(7));
    world.server->Poke();
    CHECK(world.Until([&] { return world.dispatcher.probes.size() == 2; }));
    std::sort(world.dispatcher.probes.begin(), world.dispatcher.probes.end());
    CHECK(world.dispatcher.probes[0] == std::pair(BackendId(0), true));
    CHECK(world.dispatcher.probes[1] == std::pair(BackendId(7), false));
  }
  SUBCASE("may be replaced while they work") {
    const auto caller = world.Call(Request("GET", "/a?work_ms=50"));
    CHECK(world.Until([&] { return world.backend(0).busy() == 1; }));
    world.server->SetBackends({{BackendId(1), world.backend(1).address()}});
    world.dispatcher.backends = {BackendId(1)};
    CHECK(world.Until([&] { return caller->Answers() == 1; }));
    CHECK(caller->Status() == 200);
    CHECK(world.Fetch(Request("GET", "/b", kClose))->Status() == 200);
    CHECK(world.backend(1).counts().started == 1);
  }
}

}  // namespace
}  // namespace comfreystand::testing
