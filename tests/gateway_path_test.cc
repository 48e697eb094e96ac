#include <doctest/doctest.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/http_client.h"
#include "comfreystand/platform_gateway.h"
#include "standins/instance.h"
#include "standins/store.h"
#include "tests/support/gateway_world.h"

// A gateway with the platform's stand-ins and backend servers on one loop, from
// a caller's bytes to the backend server and back.
namespace comfreystand::platform {
namespace {

using standins::Instance;
using standins::Outage;
using testing::GatewayConfig;
using testing::GatewayRequest;
using testing::GatewayWorld;

constexpr char kExtraRoute[] =
    R"(,"more":{"host":"a.example","prefix":"/more/","kind":"idempotent",)"
    R"("timeoutMs":1200,"service":"desk"})";

TEST_CASE("a gateway that starts") {
  GatewayWorld world;
  REQUIRE(world.started);
  CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
            .status == 503);
  REQUIRE(world.UntilReady());
  SUBCASE("is ready once it knows its configuration and backend servers") {
    CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
              .status == 200);
  }
  SUBCASE("registers itself and sends callers to itself") {
    REQUIRE(world.Until([&] { return world.store.Has("nodes/front-a-1"); }));
    const http::Response answer =
        world.Ask(world.settings.directory_address.text,
                  "/v1/resolve?name=a.example&region=west&zone=west-a");
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"addresses":[")" +
                             world.settings.traffic_address.text +
                             R"("],"ttlS":2.0})");
  }
}

TEST_CASE("a request through a gateway") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  SUBCASE("reaches a backend server unchanged, with its terms") {
    const auto caller = world.Fetch(GatewayRequest(
        "POST", "/look/2f?q=%20a&", "r1",
        "Comfreystand-Deadline-Ms: 2500\r\nX-Own: kept\r\n", "the body"));
    CHECK(caller->Status() == 200);
    CHECK(caller->Has("Comfreystand-Request-Id: r1"));
    CHECK(caller->Has("Comfreystand-Server-Stamp: i-"));
    const Instance& server =
        world.servers[0]->runs() > 0 ? *world.servers[0] : *world.servers[1];
    CHECK(server.last_target() == "/look/2f?q=%20a&");
    CHECK(server.last_body() == "the body");
    CHECK(server.LastHeader("Host") == "a.example");
    CHECK(server.LastHeader("X-Own") == "kept");
    CHECK(server.LastHeader("Comfreystand-Expect-Instance") == server.name());
    CHECK(std::stoi(server.LastHeader("Comfreystand-Deadline-Ms")) <= 2'500);
  }
  SUBCASE("behind others on one connection runs beside them") {
    const auto caller =
        world.Call(GatewayRequest("GET", "/look/a?work_ms=300", "r1") +
                   GatewayRequest("GET", "/look/b?work_ms=1", "r2") +
                   GatewayRequest("GET", "/look/c?work_ms=1", "r3"));
    REQUIRE(world.Until([&] { return world.Runs("r3") == 1; }));
    CHECK(caller->Answers() == 0);
    CHECK(world.Until([&] { return caller->Answers() == 3; }));
    CHECK(caller->received().find("Id: r1") <
          caller->received().find("Id: r2"));
    CHECK(caller->received().find("Id: r2") <
          caller->received().find("Id: r3"));
  }
  SUBCASE("for what no route matches is not found, and nothing runs") {
    CHECK(world.Fetch(GatewayRequest("GET", "/none/x", "r1"))->Status() == 404);
    CHECK(world.AllRuns() == 0);
  }
  SUBCASE("gets answers of any framing whole") {
    for (const char* framing : {"", "&chunked=1", "&unframed=1"}) {
      CAPTURE(std::string(framing));
      const auto caller = world.Fetch(GatewayRequest(
          "GET", std::string("/look/x?bytes=0") + framing, "r1"));
      CHECK(caller->Status() == 200);
      CHECK(world.Until([&] { return caller->Has("xxxx"); }));
    }
  }
  SUBCASE("never sees the second answer to an earlier one") {
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto caller = world.Fetch(
          GatewayRequest("GET", "/look/same?extra=1", id,
                         "Cookie: Comfreystand-Affinity-Key=1\r\n"));
      CHECK(caller->Status() == 200);
      CHECK(caller->Has("Request-Id: " + id));
      CHECK(caller->Answers() == 1);
    }
  }
}

TEST_CASE("a request reaches a backend server unchanged wherever it is cut") {
  GatewayWorld world(1);
  REQUIRE(world.UntilReady());
  const std::string target = "/look/de46/15b?x=1&y=/z";
  const std::string whole =
      GatewayRequest("POST", target, "r1", "Connection: close\r\n", "the body");
  for (size_t cut = 1; cut < whole.size(); ++cut) {
    CAPTURE(cut);
    const auto caller = world.Call(whole.substr(0, cut));
    // The gateway has read the first part before the second is sent.
    for (int turn = 0; turn < 3; ++turn) {
      world.loop.PostDelayed(std::chrono::milliseconds(1),
                             [&world] { world.loop.Stop(); });
      world.loop.Run();
    }
    caller->Send(whole.substr(cut));
    REQUIRE(world.Until([&] { return caller->closed(); }));
    CHECK(caller->Status() == 200);
    CHECK(world.servers[0]->last_target() == target);
    CHECK(world.servers[0]->last_body() == "the body");
  }
}

TEST_CASE("work that must run once") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
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
    const auto caller = world.Fetch(
        GatewayRequest("POST", std::string("/book/x") + c.query, id));
    CHECK(caller->Status() == c.status);
    CHECK(world.Runs(id) == c.runs);
  }
  SUBCASE("is refused as not run only when every backend server said so") {
    for (const auto& server : world.servers) {
      server->behaviour().shedding = true;
    }
    const auto caller = world.Fetch(GatewayRequest("POST", "/book/x", "shed"));
    CHECK(caller->Status() == 503);
    CHECK(caller->Has("Retry-After: "));
    CHECK(world.Runs("shed") == 0);
  }
}

TEST_CASE("work that may be repeated is tried elsewhere") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  SUBCASE("when an answer breaks off") {
    const auto caller =
        world.Fetch(GatewayRequest("GET", "/look/x?cut=2", "r1"));
    CHECK(world.Runs("r1") == 2);
    CHECK(caller->Status() == 502);
  }
  SUBCASE("when a backend server fails it, and the last error is passed on") {
    const auto caller =
        world.Fetch(GatewayRequest("GET", "/look/x?status=500", "r1"));
    CHECK(world.Runs("r1") == 2);
    CHECK(caller->Status() == 500);
  }
  SUBCASE("when one refuses it") {
    world.servers[0]->behaviour().shedding = true;
    for (int i = 0; i < 8; ++i) {
      CHECK(
          world.Fetch(GatewayRequest("GET", "/look/" + std::to_string(i), "r"))
              ->Status() == 200);
    }
  }
}

TEST_CASE("a caller that leaves has its work cancelled") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  auto caller =
      world.Call(GatewayRequest("GET", "/look/x?work_ms=60000", "r1"));
  REQUIRE(world.Until([&] { return world.Runs("r1") == 1; }));
  caller->Close();
  CHECK(world.Until([&] {
    return world.servers[0]->cancelled() + world.servers[1]->cancelled() == 1;
  }));
}

TEST_CASE("backend servers come and go") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  const auto served_by = [&](int index, int requests) {
    const int before = world.servers[static_cast<size_t>(index)]->runs();
    for (int i = 0; i < requests; ++i) {
      world.Fetch(GatewayRequest("GET", "/look/" + std::to_string(i), "r"));
    }
    return world.servers[static_cast<size_t>(index)]->runs() - before;
  };
  const auto ready = [&] {
    return world.gateway->gateway().GetStats().backends_ready;
  };
  SUBCASE("one that drains gets no more work") {
    world.Register(*world.servers[0], "draining", 1);
    REQUIRE(world.Until([&] { return ready() == 1; }));
    CHECK(served_by(0, 12) == 0);
    SUBCASE("and works again in its next life") {
      world.Register(*world.servers[0], "ready", 2);
      REQUIRE(world.Until([&] { return ready() == 2; }));
      CHECK(served_by(0, 12) > 0);
    }
  }
  SUBCASE("one whose registration ends gets no more work") {
    world.store.Remove("servers/i-0");
    REQUIRE(world.Until([&] { return ready() == 1; }));
    CHECK(served_by(0, 12) == 0);
  }
  SUBCASE("an address that another one has now is noticed, and nothing runs") {
    // i-9 is registered at the address of i-0.
    const Instance impostor(&world.loop, "i-9");
    world.store.Put(
        "servers/i-9",
        R"({"service":"desk","address":")" + world.servers[0]->address() +
            R"(","zone":"west-a","version":"v1","capacity":3,)" +
            R"("state":"ready","coldLeftMs":0,"sequence":1,"born":1})");
    REQUIRE(world.Until([&] { return ready() == 3; }));
    for (int i = 0; i < 12; ++i) {
      CHECK(
          world
              .Fetch(GatewayRequest("POST", "/book/" + std::to_string(i), "r"))
              ->Status() == 200);
    }
  }
  SUBCASE("a registration that can't be read disturbs nothing") {
    for (const char* value :
         {"", "{", "[]", R"({"service":7})", R"({"state":"resting"})"}) {
      world.store.Put("servers/odd", value);
      world.store.Put("servers/i-0", value);
      CHECK(world.Fetch(GatewayRequest("GET", "/look/x", "r"))->Status() ==
            200);
    }
    CHECK(ready() == 2);
  }
  SUBCASE("an evacuated domain gets nothing until it is taken back") {
    world.store.Put("op/evacuate/west-a", "{}");
    REQUIRE(world.Until([&] {
      return world.Fetch(GatewayRequest("GET", "/look/x", "r"))->Status() ==
             503;
    }));
    const int runs = world.AllRuns();
    CHECK(world.Fetch(GatewayRequest("GET", "/look/x", "r"))->Status() == 503);
    CHECK(world.AllRuns() == runs);
    world.store.Remove("op/evacuate/west-a");
    CHECK(world.Until([&] {
      return world.Fetch(GatewayRequest("GET", "/look/x", "r"))->Status() ==
             200;
    }));
  }
}

TEST_CASE("a configuration") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  const auto version = [&] {
    return world.gateway->gateway().GetStats().version.value;
  };
  SUBCASE("is in force once the store has it") {
    world.store.Put("op/config", GatewayConfig(5, kExtraRoute));
    REQUIRE(world.Until([&] { return version() == 5; }));
    CHECK(world.Fetch(GatewayRequest("GET", "/more/x", "r"))->Status() == 200);

    SUBCASE("and never gives way to an older one") {
      world.store.Put("op/config", GatewayConfig(4));
      world.store.Put("op/evacuate/east-a", "{}");
      world.Fetch(GatewayRequest("GET", "/look/x", "r"));
      CHECK(version() == 5);
      CHECK(world.Fetch(GatewayRequest("GET", "/more/x", "r"))->Status() ==
            200);
    }
    SUBCASE("and stays when the next one can't be read") {
      world.store.Put("op/config", GatewayConfig(6).substr(0, 200));
      world.store.Put("op/config", R"({"version":"r7"})");
      world.Fetch(GatewayRequest("GET", "/look/x", "r"));
      CHECK(version() == 5);
      world.store.Put("op/config", GatewayConfig(8));
      CHECK(world.Until([&] { return version() == 8; }));
    }
  }
  SUBCASE("and backend servers hold while the store is away") {
    world.store.SetFaults({.outage = Outage::kBusy});
    REQUIRE(world.Until(
        [&] { return world.gateway->gateway().GetStats().store_lost; }));
    CHECK(world.gateway->gateway().Ready());
    CHECK(world.Fetch(GatewayRequest("GET", "/look/x", "r"))->Status() == 200);
    world.store.SetFaults({});
    world.store.Put("op/config", GatewayConfig(9));
    CHECK(world.Until([&] { return version() == 9; }));
  }
}

TEST_CASE("a node that starts while the store is away") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  world.store.Put("op/evacuate/east-a", "{}");
  world.store.SetFaults({.outage = Outage::kSilent});
  gateway::GatewaySettings settings = world.settings;
  settings.name = "front-a-2";
  settings.peer_address.text = {};
  // The first seed is stale.
  settings.seeds = {{"127.0.0.1:1"}, world.settings.peer_address};
  std::unique_ptr<PlatformGateway> started;
  for (int i = 0; i < 20; ++i) {
    settings.traffic_address.text = standins::FreeAddress();
    settings.readiness_address.text = standins::FreeAddress();
    settings.directory_address.text = standins::FreeAddress();
    started = std::make_unique<PlatformGateway>(&world.loop, settings);
    std::string error;
    if (started->Start(&error)) {
      break;
    }
    started.reset();
  }
  REQUIRE(started);
  PlatformGateway& late = *started;
  SUBCASE("takes what it needs from a node that runs") {
    REQUIRE(world.Until([&] { return late.gateway().Ready(); }));
    CHECK(late.gateway().GetStats().version.value == 1);
    CHECK(late.gateway().GetStats().backends_ready == 2);

    SUBCASE("and follows the store from there once it is back") {
      world.store.SetFaults({});
      world.store.Put("op/config", GatewayConfig(5, kExtraRoute));
      CHECK(world.Until(
          [&] { return late.gateway().GetStats().version.value == 5; }));
      CHECK(world.Until([&] { return world.store.Has("nodes/front-a-2"); }));
    }
  }
}

TEST_CASE("a planned stop") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  REQUIRE(world.Until([&] { return world.store.Has("nodes/front-a-1"); }));
  const auto running =
      world.Call(GatewayRequest("GET", "/look/x?work_ms=200", "running"));
  REQUIRE(world.Until([&] { return world.Runs("running") == 1; }));
  bool stopped = false;
  world.gateway->BeginStop([&] { stopped = true; });
  SUBCASE("takes the node out of look-ups at once") {
    CHECK(world.Until([&] { return !world.store.Has("nodes/front-a-1"); }));
    CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
              .status == 503);
  }
  SUBCASE("serves what comes before callers have turned elsewhere") {
    const auto late = world.Fetch(GatewayRequest("GET", "/look/y", "late"));
    CHECK(late->Status() == 200);
    CHECK(late->Has("Connection: close"));
  }
  CHECK(world.Until([&] { return running->Answers() == 1; }));
  CHECK(running->Status() == 200);
  CHECK(world.Until([&] { return stopped; }));
}

}  // namespace
}  // namespace comfreystand::platform
