#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/grpc_peer.h"

namespace comfreystand {
namespace {

TEST_CASE("two nodes over gRPC") {
  EventLoop loop;
  uint32_t received_from = 0;
  auto server = std::make_unique<peer::GrpcServer>(
      &loop, "127.0.0.1:0", peer::TlsMaterial(),
      [&](const wire::Envelope& request) {
        received_from = request.from_node();
        wire::Envelope reply;
        reply.set_from_node(2);
        return reply;
      });
  REQUIRE(server->port() != 0);
  const std::string address = "127.0.0.1:" + std::to_string(server->port());
  peer::GrpcTransport transport(&loop, peer::TlsMaterial());
  wire::Envelope request;
  request.set_from_node(1);

  SUBCASE("exchange a request and its reply on the loop") {
    uint32_t replied_from = 0;
    transport.Call(address, request, [&](bool ok, const wire::Envelope& reply) {
      CHECK(ok);
      replied_from = reply.from_node();
      loop.Stop();
    });
    loop.Run();
    CHECK(received_from == 1);
    CHECK(replied_from == 2);
    CHECK(server->stats().calls_received == 1);
  }
  SUBCASE("report a failure after the server has shut down") {
    server.reset();
    bool failed = false;
    transport.Call(address, request, [&](bool ok, const wire::Envelope&) {
      failed = !ok;
      loop.Stop();
    });
    loop.Run();
    CHECK(failed);
    CHECK(transport.stats().calls_failed == 1);
  }
  SUBCASE(
      "shut down without waiting for a call that the loop has not handled") {
    transport.Call(address, request, [](bool, const wire::Envelope&) {});
    server.reset();
    CHECK(received_from == 0);
  }
}

}  // namespace
}  // namespace comfreystand
