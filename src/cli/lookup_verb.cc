#include <array>
#include <ostream>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/http_client.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

constexpr int kHttpOk = 200;

ExitCode RunLookup(const Invocation& invocation) {
  EventLoop loop;
  http::Client client(loop.base(), invocation.GetOption("entry-vm"));
  http::Request request;
  request.target = "/v1/lookup";
  const std::string address = invocation.GetOption("client");
  if (!address.empty())
    request.target += "?client=" + http::EncodePath(address);
  http::Response response;
  client.Call(std::move(request), [&](const http::Response& received) {
    response = received;
    loop.Stop();
  });
  loop.Run();
  if (response.outcome != http::Outcome::kAnswered) {
    invocation.Err() << "comfreystand: the entry VM does not answer\n";
    return ExitCode::kUnavailable;
  }
  if (response.status != kHttpOk) {
    invocation.Err() << "comfreystand: status " << response.status << '\n';
    return ExitCode::kFailed;
  }
  invocation.Out() << response.body << '\n';
  return ExitCode::kOk;
}

constexpr std::array<Option, 2> kOptions = {
    {{"entry-vm", "A.B.C.D:PORT", "127.0.0.1:8080", "Entry VM to query."},
     {"client", "IP", "",
      "Client address to look up; default: this host's own."}}};
constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand lookup --entry-vm 10.10.1.11:8080 --client 10.1.2.3",
      "Prints the entry VMs for a client, best first, as JSON."}}};

}  // namespace

constexpr Verb kLookupVerb = {.name = "lookup",
                              .summary = "Look up the entry VMs for a client.",
                              .run = &RunLookup,
                              .options = kOptions,
                              .examples = kExamples};

}  // namespace comfreystand::cli
