#include <array>
#include <ostream>
#include <random>
#include <string>

#include "comfreystand/acceptance.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/limits.h"
#include "comfreystand/platform_store.h"
#include "src/cli/files.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using platform::AcceptResult;
using platform::AcceptStatus;

platform::ChangeOrigin MakeChangeOrigin(const Invocation& invocation) {
  platform::ChangeOrigin origin;
  origin.change_id = "bootstrap-" + std::to_string(std::random_device()());
  origin.proposed_by = "bootstrap";
  origin.requested_by = invocation.GetOption("requested-by");
  origin.when = SystemClock().WallNow();
  return origin;
}

ExitCode RunBootstrap(const Invocation& invocation) {
  const auto text = ReadFile(invocation.Arguments()[0],
                             limits::kMaxRuleFileBytes, invocation);
  if (!text.has_value())
    return ExitCode::kFailed;
  EventLoop loop;
  platform::PlatformStore store(loop.base(), &loop,
                                invocation.GetOption("store"));
  platform::Acceptance acceptance({}, loop, store.key_value_store());
  AcceptResult result;
  acceptance.Propose(MakeChangeOrigin(invocation), *text,
                     [&](const AcceptResult& accept_result) {
                       result = accept_result;
                       loop.Stop();
                     });
  loop.Run();
  if (result.status == AcceptStatus::kAccepted) {
    invocation.Out() << "accepted as version " << result.version.value << '\n';
    return ExitCode::kOk;
  }
  invocation.Err() << "not accepted: " << platform::ToString(result.status)
                   << '\n';
  return result.status == AcceptStatus::kConflict  ? ExitCode::kConflict
         : result.status == AcceptStatus::kInvalid ? ExitCode::kInvalidInput
                                                   : ExitCode::kUnavailable;
}

constexpr std::array<Option, 2> kOptions = {
    {{"store", "A.B.C.D:PORT", "127.0.0.1:7000",
      "Address of the key-value service."},
     {"requested-by", "NAME", "operations", "Who asked for the rules."}}};
constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand rules bootstrap examples/float-keepers.rules",
      "Accepts the first rule file of a new deployment."}}};

}  // namespace

constexpr Verb kRulesBootstrapVerb = {
    .name = "rules bootstrap",
    .arguments = "FILE",
    .min_arguments = 1,
    .max_arguments = 1,
    .summary = "Accept the first rule file, before any entry VM runs.",
    .run = &RunBootstrap,
    .options = kOptions,
    .examples = kExamples};

}  // namespace comfreystand::cli
