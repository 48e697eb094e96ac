#include <csignal>

#include <array>
#include <memory>
#include <ostream>

#include "comfreystand/event_loop.h"
#include "comfreystand/limits.h"
#include "comfreystand/log.h"
#include "comfreystand/node.h"
#include "comfreystand/settings.h"
#include "src/cli/files.h"
#include "src/cli/logging.h"
#include "src/cli/settings_report.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

// Runs the event loop. The first SIGTERM or SIGINT starts a graceful stop,
// after which the loop ends; a second one ends it at once.
void RunUntilStopped(EventLoop* loop, node::Node* node) {
  auto signal_count = std::make_shared<int>(0);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop->OnSignal(signal_number, [loop, node, signal_count](TimePoint) {
      if (++*signal_count > 1)
        loop->Stop();
      else
        node->BeginStop([loop] { loop->Stop(); });
    });
  }
  loop->Run();
}

ExitCode RunNode(const Invocation& invocation) {
  const std::string& path = invocation.Arguments()[0];
  const auto text = ReadFile(path, limits::kMaxSettingsFileBytes, invocation);
  if (!text.has_value())
    return ExitCode::kFailed;
  const SettingsResult parsed = ParseSettings(*text);
  if (!parsed.settings.has_value()) {
    PrintSettingErrors(path, parsed.errors, invocation.Err());
    return ExitCode::kInvalidInput;
  }
  const NodeSettings& settings = *parsed.settings;
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging({.level = settings.log_level, .format = settings.log_format});
  EventLoop loop;
  std::string error;
  auto node = node::Node::Create(&loop, settings, &error);
  if (!node) {
    invocation.Err() << "comfreystand: " << error << '\n';
    StopLogging();
    return ExitCode::kFailed;
  }
  LogStateChange("node", "started", {{"name", settings.node_name}});
  FlushLogPeriodically(&loop);
  RunUntilStopped(&loop, node.get());
  LogStateChange("node", "stopped", {{"name", settings.node_name}});
  node.reset();
  StopLogging();
  return ExitCode::kOk;
}

constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand node examples/float-keepers.ini",
      "Runs an entry VM until SIGTERM, which stops it gracefully."}}};

}  // namespace

constexpr Verb kNodeVerb = {.name = "node",
                            .arguments = "SETTINGS",
                            .min_arguments = 1,
                            .max_arguments = 1,
                            .summary = "Run the process of an entry VM.",
                            .run = &RunNode,
                            .examples = kExamples};

}  // namespace comfreystand::cli
