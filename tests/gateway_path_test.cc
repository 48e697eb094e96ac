#include <doctest/doctest.h>
#include <event2/event.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/http_client.h"
#include "comfreystand/platform_gateway.h"
#include "standins/instance.h"
#include "standins/store.h"
#include "tests/support/gateway_fixture.h"

// Tests of a gateway with stand-ins for the store and the backend servers on
// one loop, from a caller's bytes to the backend server and back.
namespace comfreystand::platform {
namespace {

using standins::Instance;
using standins::Outage;
using testing::GatewayConfig;
using testing::GatewayFixture;
using testing::GatewayRequest;

constexpr char kExtraRoute[] =
    R"(,"more":{"host":"a.example","prefix":"/more/","kind":"idempotent",)"
    R"("timeoutMs":1200,"service":"desk"})";

TEST_CASE("a gateway that starts") {
  GatewayFixture fixture;
  REQUIRE(fixture.started);
  CHECK(
      fixture.HttpGet(fixture.settings.readiness_address.text, "/v1/readiness")
          .status == 503);
  REQUIRE(fixture.WaitUntilReady());
  SUBCASE("is ready once it has read its configuration and backend servers") {
    CHECK(fixture
              .HttpGet(fixture.settings.readiness_address.text, "/v1/readiness")
              .status == 200);
  }
  SUBCASE("registers itself and returns itself in look-ups") {
    REQUIRE(fixture.WaitUntil(
        [&] { return fixture.store.Has("nodes/front-a-1"); }));
    const http::Response answer =
        fixture.HttpGet(fixture.settings.directory_address.text,
                        "/v1/resolve?name=a.example&region=west&zone=west-a");
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"addresses":[")" +
                             fixture.settings.traffic_address.text +
                             R"("],"ttlS":2.0})");
  }
}

TEST_CASE("a gateway whose backend server has named a limit") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilReady());
  Instance& server = *fixture.servers[0];
  server.behaviour().limit = "2.5";
  REQUIRE(fixture.SendAndWait(GatewayRequest("GET", "/look/a", "first"))
              ->LastStatus() == 200);
  std::vector<std::unique_ptr<testing::RawCaller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(fixture.OpenCaller(
        GatewayRequest("GET", "/look/a", "r" + std::to_string(i))));
  }
  SUBCASE("sends no more and refuses the others soon") {
    REQUIRE(fixture.WaitUntil([&] {
      return std::all_of(
          callers.begin(), callers.end(),
          [](const auto& caller) { return caller->AnswerCount() == 1; });
    }));
    CHECK(server.total_runs() <= 2);
    CHECK(callers.back()->LastStatus() == 503);
  }
  SUBCASE("sends all once it names none any more") {
    server.behaviour().limit.clear();
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.SendAndWait(GatewayRequest("GET", "/look/a", "later"))
                 ->LastStatus() == 200;
    }));
    const int before = server.total_runs();
    for (int i = 0; i < 5; ++i) {
      CHECK(fixture.SendAndWait(GatewayRequest("GET", "/look/a", "x"))
                ->LastStatus() == 200);
    }
    CHECK(server.total_runs() == before + 5);
  }
}

TEST_CASE("a request through a gateway") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  SUBCASE("reaches a backend server unchanged, with its deadline") {
    const auto caller = fixture.SendAndWait(GatewayRequest(
        "POST", "/look/2f?q=%20a&", "r1",
        "Comfreystand-Deadline-Ms: 2500\r\nX-Own: kept\r\n", "the body"));
    CHECK(caller->LastStatus() == 200);
    CHECK(caller->HasReceived("Comfreystand-Request-Id: r1"));
    CHECK(caller->HasReceived("Comfreystand-Server-Stamp: i-"));
    const Instance& server = fixture.servers[0]->total_runs() > 0
                                 ? *fixture.servers[0]
                                 : *fixture.servers[1];
    CHECK(server.last_target() == "/look/2f?q=%20a&");
    CHECK(server.last_body() == "the body");
    CHECK(server.LastHeader("Host") == "a.example");
    CHECK(server.LastHeader("X-Own") == "kept");
    CHECK(server.LastHeader("Comfreystand-Expect-Instance") == server.name());
    CHECK(std::stoi(server.LastHeader("Comfreystand-Deadline-Ms")) <= 2'500);
  }
  SUBCASE("pipelined behind others on one connection runs concurrently") {
    const auto caller =
        fixture.OpenCaller(GatewayRequest("GET", "/look/a?work_ms=300", "r1") +
                           GatewayRequest("GET", "/look/b?work_ms=1", "r2") +
                           GatewayRequest("GET", "/look/c?work_ms=1", "r3"));
    REQUIRE(fixture.WaitUntil([&] { return fixture.CountRuns("r3") == 1; }));
    CHECK(caller->AnswerCount() == 0);
    CHECK(fixture.WaitUntil([&] { return caller->AnswerCount() == 3; }));
    CHECK(caller->received().find("Id: r1") <
          caller->received().find("Id: r2"));
    CHECK(caller->received().find("Id: r2") <
          caller->received().find("Id: r3"));
  }
  SUBCASE("that matches no route is not found, and nothing runs") {
    CHECK(fixture.SendAndWait(GatewayRequest("GET", "/none/x", "r1"))
              ->LastStatus() == 404);
    CHECK(fixture.CountAllRuns() == 0);
  }
  SUBCASE("receives whole answers of any framing") {
    for (const char* framing : {"", "&chunked=1", "&unframed=1"}) {
      CAPTURE(std::string(framing));
      const auto caller = fixture.SendAndWait(GatewayRequest(
          "GET", std::string("/look/x?bytes=0") + framing, "r1"));
      CHECK(caller->LastStatus() == 200);
      CHECK(fixture.WaitUntil([&] { return caller->HasReceived("xxxx"); }));
    }
  }
  SUBCASE("never receives the extra answer to an earlier request") {
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto caller = fixture.SendAndWait(
          GatewayRequest("GET", "/look/same?extra=1", id,
                         "Cookie: Comfreystand-Affinity-Key=1\r\n"));
      CHECK(caller->LastStatus() == 200);
      CHECK(caller->HasReceived("Request-Id: " + id));
      CHECK(caller->AnswerCount() == 1);
    }
  }
}

TEST_CASE("a request reaches a backend server unchanged however it is split") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilReady());
  const std::string target = "/look/de46/15b?x=1&y=/z";
  const std::string whole =
      GatewayRequest("POST", target, "r1", "Connection: close\r\n", "the body");
  for (size_t cut = 1; cut < whole.size(); ++cut) {
    CAPTURE(cut);
    const auto caller = fixture.OpenCaller(whole.substr(0, cut));
    // The gateway has read the first part before the second is sent.
    for (int iteration = 0; iteration < 3; ++iteration) {
      fixture.loop.PostDelayed(std::chrono::milliseconds(1),
                               [&fixture] { fixture.loop.Stop(); });
      fixture.loop.Run();
    }
    caller->Send(whole.substr(cut));
    REQUIRE(fixture.WaitUntil([&] { return caller->closed(); }));
    CHECK(caller->LastStatus() == 200);
    CHECK(fixture.servers[0]->last_target() == target);
    CHECK(fixture.servers[0]->last_body() == "the body");
  }
}

TEST_CASE("a request that is not idempotent runs at most once") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  struct Case {
    const char* name;
    const char* query;
    int status;
    int runs;
  };
  const Case cases[] = {
      {"answered", "", 200, 1},
      {"answered with an error", "?status=500", 500, 1},
      {"cut off in its answer", "?cut=2", 502, 1},
      {"without a signature", "?stamp=0", 502, 1},
      {"longer than its route allows", "?work_ms=5000", 504, 1},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    const std::string id = std::string("r-") + c.name[0] + c.query;
    const auto caller = fixture.SendAndWait(
        GatewayRequest("POST", std::string("/book/x") + c.query, id));
    CHECK(caller->LastStatus() == c.status);
    CHECK(fixture.CountRuns(id) == c.runs);
  }
  SUBCASE(
      "and is refused as not run only when every backend server refused it") {
    for (const auto& server : fixture.servers) {
      server->behaviour().shedding = true;
    }
    const auto caller =
        fixture.SendAndWait(GatewayRequest("POST", "/book/x", "shed"));
    CHECK(caller->LastStatus() == 503);
    CHECK(caller->HasReceived("Retry-After: "));
    CHECK(fixture.CountRuns("shed") == 0);
  }
}

TEST_CASE("an idempotent request is retried on another backend server") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  SUBCASE("when an answer is cut off") {
    const auto caller =
        fixture.SendAndWait(GatewayRequest("GET", "/look/x?cut=2", "r1"));
    CHECK(fixture.CountRuns("r1") == 2);
    CHECK(caller->LastStatus() == 502);
  }
  SUBCASE(
      "when a backend server answers an error, and the last one is returned") {
    const auto caller =
        fixture.SendAndWait(GatewayRequest("GET", "/look/x?status=500", "r1"));
    CHECK(fixture.CountRuns("r1") == 2);
    CHECK(caller->LastStatus() == 500);
  }
  SUBCASE("when a backend server refuses it") {
    fixture.servers[0]->behaviour().shedding = true;
    for (int i = 0; i < 8; ++i) {
      CHECK(fixture
                .SendAndWait(
                    GatewayRequest("GET", "/look/" + std::to_string(i), "r"))
                ->LastStatus() == 200);
    }
  }
}

TEST_CASE("the request of a caller that disconnects is cancelled") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  auto caller =
      fixture.OpenCaller(GatewayRequest("GET", "/look/x?work_ms=60000", "r1"));
  REQUIRE(fixture.WaitUntil([&] { return fixture.CountRuns("r1") == 1; }));
  caller->Close();
  CHECK(fixture.WaitUntil([&] {
    return fixture.servers[0]->cancelled() + fixture.servers[1]->cancelled() ==
           1;
  }));
}

TEST_CASE("a request of a caller that has left is not sent on") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilReady());
  SUBCASE("over a new connection") {}
  SUBCASE("over a kept connection") {
    fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r1"));
  }
  // The request is read together with the end of the connection.
  REQUIRE(fixture.SendAndCloseAtOnce(GatewayRequest("GET", "/look/x", "left")));
  fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r2"));
  CHECK(fixture.CountRuns("r2") == 1);
  CHECK(fixture.CountRuns("left") == 0);
}

TEST_CASE("changes of the backend servers") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  const auto requests_served_by = [&](int index, int requests) {
    const int before =
        fixture.servers[static_cast<size_t>(index)]->total_runs();
    for (int i = 0; i < requests; ++i) {
      fixture.SendAndWait(
          GatewayRequest("GET", "/look/" + std::to_string(i), "r"));
    }
    return fixture.servers[static_cast<size_t>(index)]->total_runs() - before;
  };
  const auto ready = [&] {
    return fixture.gateway->gateway().GetStats().backends_ready;
  };
  SUBCASE("one that drains gets no more requests") {
    fixture.Register(*fixture.servers[0], "draining", 1);
    REQUIRE(fixture.WaitUntil([&] { return ready() == 1; }));
    CHECK(requests_served_by(0, 12) == 0);
    SUBCASE("until it registers as a new incarnation") {
      fixture.Register(*fixture.servers[0], "ready", 2);
      REQUIRE(fixture.WaitUntil([&] { return ready() == 2; }));
      CHECK(requests_served_by(0, 12) > 0);
    }
  }
  SUBCASE("one whose registration ends gets no more requests") {
    fixture.store.Remove("servers/i-0");
    REQUIRE(fixture.WaitUntil([&] { return ready() == 1; }));
    CHECK(requests_served_by(0, 12) == 0);
  }
  SUBCASE("a reused address is detected, and no request runs there") {
    // i-9 is registered at the address of i-0.
    const Instance other_server(&fixture.loop, "i-9");
    fixture.store.Put(
        "servers/i-9",
        R"({"service":"desk","address":")" + fixture.servers[0]->address() +
            R"(","zone":"west-a","version":"v1","capacity":3,)" +
            R"("state":"ready","coldLeftMs":0,"sequence":1,"born":1})");
    REQUIRE(fixture.WaitUntil([&] { return ready() == 3; }));
    for (int i = 0; i < 12; ++i) {
      CHECK(fixture
                .SendAndWait(
                    GatewayRequest("POST", "/book/" + std::to_string(i), "r"))
                ->LastStatus() == 200);
    }
  }
  SUBCASE("a registration that can't be parsed has no effect") {
    for (const char* value :
         {"", "{", "[]", R"({"service":7})", R"({"state":"resting"})"}) {
      fixture.store.Put("servers/odd", value);
      fixture.store.Put("servers/i-0", value);
      CHECK(fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"))
                ->LastStatus() == 200);
    }
    CHECK(ready() == 2);
  }
  SUBCASE("an evacuated domain gets no requests until the evacuation ends") {
    fixture.store.Put("op/evacuate/west-a", "{}");
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"))
                 ->LastStatus() == 503;
    }));
    const int runs = fixture.CountAllRuns();
    CHECK(fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"))
              ->LastStatus() == 503);
    CHECK(fixture.CountAllRuns() == runs);
    fixture.store.Remove("op/evacuate/west-a");
    CHECK(fixture.WaitUntil([&] {
      return fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"))
                 ->LastStatus() == 200;
    }));
  }
}

TEST_CASE("a configuration") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  const auto version = [&] {
    return fixture.gateway->gateway().GetStats().version.value;
  };
  SUBCASE("is in force once the store has it") {
    fixture.store.Put("op/config", GatewayConfig(5, kExtraRoute));
    REQUIRE(fixture.WaitUntil([&] { return version() == 5; }));
    CHECK(fixture.SendAndWait(GatewayRequest("GET", "/more/x", "r"))
              ->LastStatus() == 200);

    SUBCASE("and is not replaced by an older one") {
      fixture.store.Put("op/config", GatewayConfig(4));
      fixture.store.Put("op/evacuate/east-a", "{}");
      fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"));
      CHECK(version() == 5);
      CHECK(fixture.SendAndWait(GatewayRequest("GET", "/more/x", "r"))
                ->LastStatus() == 200);
    }
    // Guards against a configuration that is used long after it was replaced,
    // since the store's answer was lost (CONFIG).
    SUBCASE("also when the store's answer about it was lost") {
      fixture.store.SetFaults({.lost_watch_responses = 1});
      fixture.store.Put("op/config", GatewayConfig(6));
      standins::RunUntil(&fixture.loop, std::chrono::seconds(3),
                         [] { return false; });
      fixture.store.Put("op/config", GatewayConfig(7));
      standins::RunUntil(&fixture.loop, std::chrono::seconds(2),
                         [&] { return version() == 7; });
      CHECK(version() == 7);
    }
    SUBCASE("and stays in force when the next one can't be parsed") {
      fixture.store.Put("op/config", GatewayConfig(6).substr(0, 200));
      fixture.store.Put("op/config", R"({"version":"r7"})");
      fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"));
      CHECK(version() == 5);
      fixture.store.Put("op/config", GatewayConfig(8));
      CHECK(fixture.WaitUntil([&] { return version() == 8; }));
    }
  }
  SUBCASE("and the backend servers stay in use during an outage of the store") {
    fixture.store.SetFaults({.outage = Outage::kUnavailable});
    REQUIRE(fixture.WaitUntil(
        [&] { return fixture.gateway->gateway().GetStats().store_lost; }));
    CHECK(fixture.gateway->gateway().Ready());
    CHECK(fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r"))
              ->LastStatus() == 200);
    fixture.store.SetFaults({});
    fixture.store.Put("op/config", GatewayConfig(9));
    CHECK(fixture.WaitUntil([&] { return version() == 9; }));
  }
}

TEST_CASE("a node that starts during an outage of the store") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  fixture.store.Put("op/evacuate/east-a", "{}");
  fixture.store.SetFaults({.outage = Outage::kSilent});
  gateway::GatewaySettings settings = fixture.settings;
  settings.name = "front-a-2";
  settings.peer_address.text = {};
  // The first seed is stale.
  settings.seeds = {{"127.0.0.1:1"}, fixture.settings.peer_address};
  std::unique_ptr<PlatformGateway> started;
  for (int i = 0; i < 20; ++i) {
    settings.traffic_address.text = standins::FreeAddress();
    settings.readiness_address.text = standins::FreeAddress();
    settings.directory_address.text = standins::FreeAddress();
    started = std::make_unique<PlatformGateway>(&fixture.loop, settings);
    std::string error;
    if (started->Start(&error)) {
      break;
    }
    started.reset();
  }
  REQUIRE(started);
  PlatformGateway& late_node = *started;
  SUBCASE("reads the store's entries from a running node") {
    REQUIRE(fixture.WaitUntil([&] { return late_node.gateway().Ready(); }));
    CHECK(late_node.gateway().GetStats().version.value == 1);
    CHECK(late_node.gateway().GetStats().backends_ready == 2);

    SUBCASE("and watches the store once it is available again") {
      fixture.store.SetFaults({});
      fixture.store.Put("op/config", GatewayConfig(5, kExtraRoute));
      CHECK(fixture.WaitUntil(
          [&] { return late_node.gateway().GetStats().version.value == 5; }));
      CHECK(fixture.WaitUntil(
          [&] { return fixture.store.Has("nodes/front-a-2"); }));
    }
  }
}

TEST_CASE("a planned stop") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  REQUIRE(
      fixture.WaitUntil([&] { return fixture.store.Has("nodes/front-a-1"); }));
  const auto running = fixture.OpenCaller(
      GatewayRequest("GET", "/look/x?work_ms=200", "running"));
  REQUIRE(fixture.WaitUntil([&] { return fixture.CountRuns("running") == 1; }));
  bool stopped = false;
  const auto begin_stop = [&](TimePoint requested_at) {
    fixture.gateway->BeginStop(requested_at, [&] { stopped = true; });
  };
  SUBCASE("refuses late requests also when it was noticed late") {
    begin_stop(fixture.loop.Now() - std::chrono::seconds(3));
    const auto late_caller =
        fixture.SendAndWait(GatewayRequest("GET", "/look/y", "late"));
    CHECK(late_caller->LastStatus() == 503);
    CHECK(fixture.CountRuns("late") == 0);
  }
  SUBCASE("removes the node from look-ups at once") {
    begin_stop(fixture.loop.Now());
    CHECK(fixture.WaitUntil(
        [&] { return !fixture.store.Has("nodes/front-a-1"); }));
    CHECK(fixture
              .HttpGet(fixture.settings.readiness_address.text, "/v1/readiness")
              .status == 503);
  }
  SUBCASE("serves requests of callers with cached look-up answers") {
    begin_stop(fixture.loop.Now());
    const auto late_caller =
        fixture.SendAndWait(GatewayRequest("GET", "/look/y", "late"));
    CHECK(late_caller->LastStatus() == 200);
    CHECK(late_caller->HasReceived("Connection: close"));
  }
  CHECK(fixture.WaitUntil([&] { return running->AnswerCount() == 1; }));
  CHECK(running->LastStatus() == 200);
  CHECK(fixture.WaitUntil([&] { return stopped; }));
}

// Guards against requests within the configuration's `headerBytes` that are
// refused with 431 (DENIED).
TEST_CASE("a long line in the head of a request") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  const auto status_of = [&](const std::string& path, size_t header_bytes) {
    return fixture
        .SendAndWait(GatewayRequest(
            "GET", path, "r",
            "X-Long: " + std::string(header_bytes, 'h') + "\r\n"))
        ->LastStatus();
  };
  SUBCASE("is passed on up to the limit") {
    CHECK(status_of("/look/a", 9'000) == 200);
    CHECK(fixture.servers[0]->LastHeader("X-Long").size() == 9'000);
    CHECK(status_of("/look/" + std::string(9'000, 'p'), 1) == 200);
    CHECK(fixture.servers[0]->last_target().size() == 9'006);
    CHECK(status_of("/look/a", 16'000) == 200);
  }
  SUBCASE("is refused beyond it") {
    CHECK(status_of("/look/a", 16'384) == 431);
    CHECK(status_of("/look/" + std::string(17'000, 'p'), 1) == 431);
  }
}

}  // namespace
}  // namespace comfreystand::platform
