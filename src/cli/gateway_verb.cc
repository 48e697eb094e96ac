#include <array>
#include <csignal>
#include <memory>
#include <ostream>

#include "comfreystand/event_loop.h"
#include "comfreystand/limits.h"
#include "comfreystand/log.h"
#include "comfreystand/platform_gateway.h"
#include "src/cli/files.h"
#include "src/cli/logging.h"
#include "src/cli/settings_report.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using gateway::GatewaySettings;
using platform::PlatformGateway;

// Reads the settings file again and applies its log settings, the only ones
// that can change at run time. A file with errors changes nothing.
void ReloadLogSettings(const std::string& path, const Invocation& invocation) {
  const auto text = ReadFile(path, limits::kMaxSettingsFileBytes, invocation);
  const auto parsed = gateway::ParseGatewaySettings(text.value_or(""));
  if (!parsed.settings.has_value()) {
    LogStateChange("settings", "reload-refused",
                   {{"problem", parsed.errors.front().message},
                    {"key", parsed.errors.front().key}},
                   LogLevel::kWarn);
    return;
  }
  StartLogging(parsed.settings->log);
  LogStateChange("settings", "reloaded");
}

// Runs the event loop. The first SIGTERM or SIGINT starts a graceful stop,
// after which the loop ends; a second one ends it at once. SIGHUP calls
// `on_reload`.
void RunUntilStopped(EventLoop* loop,
                     PlatformGateway* gateway,
                     const std::function<void()>& on_reload) {
  auto signal_count = std::make_shared<int>(0);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop->OnSignal(signal_number, [loop, gateway,
                                   signal_count](TimePoint arrived_at) {
      const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
          loop->Now() - arrived_at);
      LogStateChange("gateway", "stopping",
                     {{"late_ms", std::to_string(late.count())}});
      if (++*signal_count > 1) {
        loop->Stop();
      } else {
        gateway->BeginStop(arrived_at, [loop] { loop->Stop(); });
      }
    });
  }
  loop->OnSignal(SIGHUP, [on_reload](TimePoint) { on_reload(); });
  FlushLogPeriodically(loop);
  loop->Run();
}

ExitCode RunGateway(const Invocation& invocation) {
  const std::string& path = invocation.Arguments()[0];
  const auto text = ReadFile(path, limits::kMaxSettingsFileBytes, invocation);
  if (!text.has_value()) {
    return ExitCode::kFailed;
  }
  const auto parsed = gateway::ParseGatewaySettings(*text);
  if (!parsed.settings.has_value()) {
    PrintSettingErrors(path, parsed.errors, invocation.Err());
    return ExitCode::kInvalidInput;
  }
  const GatewaySettings& settings = *parsed.settings;
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging(settings.log);
  EventLoop loop;
  auto gateway = std::make_unique<PlatformGateway>(&loop, settings);
  gateway->gateway().AddMetric(
      "comfreystand_log_lines_left_out_total",
      "Log lines left out for their number or a slow reader.", true,
      [] { return static_cast<double>(DroppedLogLineCount()); });
  std::string error;
  if (!gateway->Start(&error)) {
    invocation.Err() << "comfreystand: " << error << '\n';
    StopLogging();
    return ExitCode::kFailed;
  }
  LogStateChange("gateway", "started", {{"name", settings.name}});
  RunUntilStopped(&loop, gateway.get(), [&path, &invocation] {
    ReloadLogSettings(path, invocation);
  });
  LogStateChange("gateway", "stopped", {{"name", settings.name}});
  gateway.reset();
  StopLogging();
  return ExitCode::kOk;
}

constexpr std::array<Example, 1> kExamples = {
    {{"comfreystand gateway /etc/comfreystand/gateway.ini",
      "Runs an entry VM that follows the platform's store until SIGTERM."}}};

}  // namespace

constexpr Verb kGatewayVerb = {
    .name = "gateway",
    .arguments = "SETTINGS",
    .min_arguments = 1,
    .max_arguments = 1,
    .summary = "Run an entry VM that follows the platform's store.",
    .run = &RunGateway,
    .examples = kExamples};

}  // namespace comfreystand::cli
