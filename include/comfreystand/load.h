#ifndef COMFREYSTAND_LOAD_H_
#define COMFREYSTAND_LOAD_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"

// Generates open-loop load against entry VMs. Requests are sent at their
// scheduled time, whether or not earlier ones were answered, and their latency
// is measured from that time.
namespace comfreystand::load {

// A class of requests in the load.
struct RequestClass {
  std::string name;
  // Share of the requests, relative to the other classes.
  double weight = 1;
  // Work that the backend server stand-in does for each request.
  Duration work = std::chrono::milliseconds(2);
  size_t answer_bytes = 256;
};

struct Options {
  // "a.b.c.d:port"; requests are sent to them in turn.
  std::vector<std::string> entry_vms;
  std::string service;
  std::vector<RequestClass> classes;
  PerSecond rate{100};
  Duration duration = std::chrono::seconds(5);
  // Maximum wait for answers after the last request was sent.
  Duration grace = std::chrono::seconds(12);
  Duration deadline = std::chrono::seconds(10);
  // Share of look-ups among all calls.
  Fraction lookup_share{0.5};
  // Share of idempotent requests among all requests.
  Fraction idempotent_share{0.8};
  // Fetch a ticket for each non-idempotent request.
  bool tickets = false;
  uint64_t seed = 1;
  int max_connections = 2'000;
  // Backend server stand-ins that report how often each operation ran.
  std::vector<std::string> backends;
};

// Latencies of one kind of call, in milliseconds.
struct Latency {
  uint64_t count = 0;
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
};

struct Result {
  double seconds = 0;
  uint64_t sent = 0;
  uint64_t answered = 0;
  // No connection was available; nothing was sent.
  uint64_t not_sent = 0;
  // The connection broke before the answer began, or no answer came in time.
  uint64_t unanswered = 0;
  // The answer was truncated in a way that callers can detect.
  uint64_t truncated = 0;
  // Complete answers that belong to another request.
  uint64_t mixed_answers = 0;
  std::map<int, uint64_t> by_status;
  // Requests by the RunVerdict that their answer carried.
  std::array<uint64_t, 3> by_verdict{};
  // From the stand-ins: non-idempotent operations that ran more than once, and
  // operations that ran although their answer said "not run".
  uint64_t duplicate_runs = 0;
  uint64_t false_not_run = 0;
  // All stand-ins reported their operations.
  bool runs_checked = false;
  Latency lookups;
  // Answered requests with a status below 400, by class name.
  std::map<std::string, Latency> requests;
};

struct Progress {
  Duration elapsed{0};
  uint64_t sent = 0;
  uint64_t answered = 0;
};

// Sends the load and waits for the answers. Blocks and runs its own event loop.
// `progress`, if set, is called about once a second.
Result Run(const Options& options,
           const std::function<void(const Progress& progress)>& progress = {});

std::string ToJson(const Result& result);

// Formats a result as a table for terminal output.
std::string ToTable(const Result& result);

// One command-line option of the load verb.
struct OptionSpec {
  const char* name;
  const char* argument;
  const char* help;
  // Returns false when the text is not a valid value.
  bool (*set)(std::string_view text, Options* options);
};

std::span<const OptionSpec> OptionTable();

}  // namespace comfreystand::load

#endif  // COMFREYSTAND_LOAD_H_
