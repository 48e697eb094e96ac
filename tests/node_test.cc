#include "comfreystand/node.h"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include "comfreystand/acceptance.h"
#include "comfreystand/http_client.h"
#include "comfreystand/platform_store.h"
#include "standins/backend.h"
#include "standins/free_address.h"
#include "standins/store.h"

namespace comfreystand {
namespace {

constexpr char kRules[] =
    "region north # asked by ops: one region\n"
    "domain north-a in north entry-vms 1 # asked by ops: near\n"
    "domain north-b in north entry-vms 1 # asked by ops: far\n"
    "site near in north-a weight 1 # asked by ops: near\n"
    "site far in north-b weight 1 # asked by ops: far\n"
    "class short share 100% deadline 2s priority 1 # asked by ops: all\n"
    "service desk slots 4 connections 50 probe-cost 1ms connect-cost 1ms "
    "class short # asked by ops: the only one\n"
    "place desk in north-a backends 1 # asked by ops: one\n";

constexpr char kBlocks[] =
    "blocks 1 1\n"
    "order 0 near far\n"
    "order 1 far near\n"
    "block 10.0.0.0/8 0\n"
    "block 10.9.0.0/16 1\n";

// A file that is removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    path_ = std::string(std::tmpnam(nullptr));
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The stand-ins of the platform and one backend server on one loop.
class TestPlatform {
 public:
  TestPlatform() : store_(&loop_, "127.0.0.1:0"), backend_(loop_.base(), {}) {
    backend_.Listen("127.0.0.1:0");
    settings_.node_name = "entry-0";
    settings_.region = "north";
    settings_.domain = "north-a";
    settings_.site = "near";
    settings_.edge_address.text = standins::FreeAddress();
    settings_.peer_address.text = standins::FreeAddress();
    settings_.store_address.text = "127.0.0.1:" + std::to_string(store_.port());
    settings_.vm_list_interval = std::chrono::milliseconds(20);
    store_.Put("nodes/entry-0",
               R"({"address":")" + settings_.edge_address.text +
                   R"(","domain":"north-a","region":"north"})");
    store_.Put("servers/desk-0",
               R"({"service":"desk","address":")" + backend_.address() +
                   R"(","zone":"north-a","version":"v1","capacity":3,)" +
                   R"("state":"ready","coldLeftMs":0,"sequence":1})");
  }

  void AcceptRules() {
    platform::PlatformStore client(loop_.base(), &loop_,
                                   settings_.store_address.text);
    platform::Acceptance acceptance({}, loop_, client.key_value_store());
    platform::ChangeOrigin origin;
    origin.change_id = "first";
    origin.requested_by = "ops";
    acceptance.Propose(
        origin, kRules, [&](const platform::AcceptResult& result) {
          CHECK(result.status == platform::AcceptStatus::kAccepted);
          loop_.Stop();
        });
    loop_.Run();
  }

  http::Response Send(http::Method method, const std::string& target) {
    http::Client client(loop_.base(), settings_.edge_address.text);
    http::Request request;
    request.method = method;
    request.target = target;
    http::Response response;
    client.Call(request, [&](const http::Response& answer) {
      response = answer;
      loop_.Stop();
    });
    loop_.Run();
    return response;
  }

  // Repeats a GET request every 10 ms until the response has the status, at
  // most 500 times. Returns the last response.
  http::Response SendUntilStatus(int status, const std::string& target) {
    constexpr int kMaxAttempts = 500;
    http::Response response;
    for (int i = 0; i < kMaxAttempts && response.status != status; ++i) {
      response = Send(http::Method::kGet, target);
      loop_.PostDelayed(std::chrono::milliseconds(10),
                        [this] { loop_.Stop(); });
      loop_.Run();
    }
    return response;
  }

  EventLoop loop_;
  standins::Store store_;
  standins::Backend backend_;
  NodeSettings settings_;
};

TEST_CASE("a single node") {
  TestPlatform platform;
  std::string error;

  SUBCASE("serves callers once it has rules and backend servers") {
    platform.AcceptRules();
    const auto node =
        node::Node::Create(&platform.loop_, platform.settings_, &error);
    REQUIRE_MESSAGE(node, error);
    const http::Response answer =
        platform.SendUntilStatus(200, "/v1/s/desk/floats?work_ms=1");
    CHECK(answer.status == 200);
    CHECK(answer.headers.find("Comfreystand-Verdict")->second == "ran");

    SUBCASE("and requires a ticket for a non-idempotent request") {
      const http::Response refused =
          platform.Send(http::Method::kPost, "/v1/s/desk/bookings");
      CHECK(refused.status == 428);
      CHECK(refused.headers.find("Comfreystand-Verdict")->second == "not-run");
    }
    SUBCASE("and answers look-ups with its own site") {
      const http::Response lookup =
          platform.Send(http::Method::kGet, "/v1/lookup?client=10.1.2.3");
      CHECK(lookup.status == 200);
      CHECK(lookup.body.find(platform.settings_.edge_address.text) !=
            std::string::npos);
    }
  }
  SUBCASE("answers 404 for a service that the rule file does not have") {
    platform.AcceptRules();
    const auto node =
        node::Node::Create(&platform.loop_, platform.settings_, &error);
    REQUIRE_MESSAGE(node, error);
    CHECK(platform.SendUntilStatus(200, "/v1/s/desk/floats?work_ms=1").status ==
          200);
    CHECK(platform.Send(http::Method::kGet, "/v1/s/other/x").status == 404);
  }
  SUBCASE("starts with a block table and answers look-ups of its clients") {
    const TemporaryFile blocks(kBlocks);
    platform.settings_.block_table = blocks.path();
    platform.AcceptRules();
    const auto node =
        node::Node::Create(&platform.loop_, platform.settings_, &error);
    REQUIRE_MESSAGE(node, error);
    platform.SendUntilStatus(200, "/v1/s/desk/floats?work_ms=1");
    CHECK(platform.Send(http::Method::kGet, "/v1/lookup?client=10.1.2.3")
              .body.find("near") != std::string::npos);
  }
  SUBCASE("does not start with an invalid block table and reports the line") {
    const TemporaryFile blocks("blocks 1 1\norder 0 near\nblock nonsense 0\n");
    platform.settings_.block_table = blocks.path();
    CHECK_FALSE(
        node::Node::Create(&platform.loop_, platform.settings_, &error));
    CHECK(error ==
          blocks.path() + ":3: " + error.substr(error.rfind(": ") + 2));
  }
}

}  // namespace
}  // namespace comfreystand
