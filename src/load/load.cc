#include "comfreystand/load.h"
#include "comfreystand/event_loop.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "comfreystand/edge.h"
#include "src/load/caller_pool.h"
#include "src/load/histogram.h"

namespace comfreystand::load {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(1);
constexpr Duration kProgressInterval = std::chrono::seconds(1);
constexpr int kFirstErrorStatus = 400;
constexpr double kMicrosPerSecond = 1e6;

struct BaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

// One request and the verdict that its answer carried.
struct Operation {
  bool idempotent = false;
  std::optional<RunVerdict> verdict;
};

// Sends one load and collects its result.
class LoadGenerator {
 public:
  LoadGenerator(const Options& options,
                const std::function<void(const Progress&)>& progress)
      : options_(options),
        progress_(progress),
        base_(NewPreciseEventBase()),
        pool_(base_.get(), options.max_connections, options.grace),
        random_(options.seed),
        tick_event_(event_new(
            base_.get(),
            -1,
            EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
              static_cast<LoadGenerator*>(self)->OnTick();
            },
            this)) {
    std::vector<double> weights;
    for (const RequestClass& request_class : options_.classes) {
      weights.push_back(request_class.weight);
    }
    class_distribution_ =
        std::discrete_distribution<size_t>(weights.begin(), weights.end());
  }

  Result Run() {
    start_ = next_due_ = clock_.Now();
    const timeval tick = ToTimeval(kTickInterval);
    event_add(tick_event_.get(), &tick);
    event_base_dispatch(base_.get());
    Summarize();
    return std::move(result_);
  }

 private:
  // Sends the requests that are due. Once all are sent and answered, or the
  // grace period has passed, fetches the run counts from the backend servers.
  void OnTick() {
    const TimePoint now = clock_.Now();
    const TimePoint end = start_ + options_.duration;
    while (next_due_ <= now && next_due_ < end) {
      Send(next_due_);
      next_due_ += NextInterval();
    }
    if (progress_ && now - last_progress_ >= kProgressInterval) {
      last_progress_ = now;
      progress_({now - start_, result_.sent, result_.answered});
    }
    const bool sent_all = next_due_ >= end && now >= end;
    if (!sent_all || fetching_run_counts_) {
      return;
    }
    if (in_flight_ == 0 || now >= end + options_.grace) {
      result_.unanswered += in_flight_;
      result_.seconds =
          static_cast<double>((now - start_).count()) / kMicrosPerSecond;
      fetching_run_counts_ = true;
      FetchRunCounts();
    }
  }

  Duration NextInterval() {
    std::exponential_distribution<double> interval(options_.rate.value);
    return Duration(std::llround(interval(random_) * kMicrosPerSecond));
  }

  double RandomFraction() {
    return std::uniform_real_distribution<double>()(random_);
  }

  const std::string& NextEntryVm() {
    return options_.entry_vms[entry_vm_index_++ % options_.entry_vms.size()];
  }

  void Send(TimePoint due) {
    ++result_.sent;
    ++in_flight_;
    if (RandomFraction() < options_.lookup_share.value ||
        options_.classes.empty()) {
      SendLookup(due);
      return;
    }
    const size_t class_index = class_distribution_(random_);
    const bool idempotent = RandomFraction() < options_.idempotent_share.value;
    const std::string& entry_vm = NextEntryVm();
    if (idempotent || !options_.tickets) {
      SendRequest(due, class_index, idempotent, entry_vm, {});
      return;
    }
    pool_.Call(
        entry_vm, "GET /v1/ticket HTTP/1.1\r\nHost: " + entry_vm + "\r\n\r\n",
        [=, this](const Reply& reply) {
          const auto json = nlohmann::json::parse(reply.body, nullptr, false);
          if (!json.is_object() || !json.contains("ticket")) {
            CountReply(reply);
            return;
          }
          SendRequest(due, class_index, false, entry_vm,
                      json["ticket"].get<std::string>());
        });
  }

  void SendLookup(TimePoint due) {
    const uint32_t client = std::uniform_int_distribution<uint32_t>()(random_);
    const std::string address = std::to_string(client >> 24) + "." +
                                std::to_string(client >> 16 & 0xff) + "." +
                                std::to_string(client >> 8 & 0xff) + "." +
                                std::to_string(client & 0xff);
    const std::string& entry_vm = NextEntryVm();
    pool_.Call(entry_vm,
               "GET /v1/lookup?client=" + address +
                   " HTTP/1.1\r\nHost: " + entry_vm + "\r\n\r\n",
               [this, due](const Reply& reply) {
                 if (CountReply(reply)) {
                   lookups_.Add(clock_.Now() - due);
                 }
               });
  }

  void SendRequest(TimePoint due,
                   size_t class_index,
                   bool idempotent,
                   const std::string& entry_vm,
                   const std::string& ticket) {
    const RequestClass& request_class = options_.classes[class_index];
    const std::string id = std::to_string(options_.seed) + "-" +
                           std::to_string(operations_.size());
    operations_[id].idempotent = idempotent;
    const auto to_millis = [](Duration duration) {
      return std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(duration)
              .count());
    };
    std::string text =
        std::string(idempotent ? "GET" : "POST") + " /v1/s/" +
        options_.service + "/" + request_class.name +
        "?work_ms=" + to_millis(request_class.work) +
        "&body_bytes=" + std::to_string(request_class.answer_bytes) +
        " HTTP/1.1\r\nHost: " + entry_vm + "\r\n";
    text += std::string(edge::kOperationHeader) + ": " + id + "\r\n";
    text +=
        std::string(edge::kClassHeader) + ": " + request_class.name + "\r\n";
    text += std::string(edge::kDeadlineHeader) + ": " +
            to_millis(options_.deadline) + "\r\n";
    if (!ticket.empty()) {
      text += std::string(edge::kTicketHeader) + ": " + ticket + "\r\n";
    }
    pool_.Call(entry_vm, text + "\r\n",
               [this, due, class_index, id](const Reply& reply) {
                 OnAnswer(due, class_index, id, reply);
               });
  }

  void OnAnswer(TimePoint due,
                size_t class_index,
                const std::string& id,
                const Reply& reply) {
    const bool succeeded = CountReply(reply);
    RunVerdict verdict = RunVerdict::kMayHaveRun;
    const std::string* text = reply.head.Find(edge::kVerdictHeader);
    if (text && ParseRunVerdict(*text, &verdict)) {
      ++result_.by_verdict[static_cast<size_t>(verdict)];
      operations_[id].verdict = verdict;
    }
    if (!succeeded) {
      return;
    }
    const RequestClass& request_class = options_.classes[class_index];
    const size_t size = std::max(request_class.answer_bytes, id.size() + 1);
    if (!reply.body.starts_with(id + "\n") || reply.body.size() != size) {
      ++result_.mixed_answers;
    }
    requests_[request_class.name].Add(clock_.Now() - due);
  }

  // Counts a completed call. Returns whether a complete answer with a status
  // below 400 arrived.
  bool CountReply(const Reply& reply) {
    // These calls have already been counted as unanswered.
    if (fetching_run_counts_) {
      return false;
    }
    --in_flight_;
    switch (reply.outcome) {
      case Reply::Outcome::kNotSent:
        ++result_.not_sent;
        return false;
      case Reply::Outcome::kUnanswered:
        ++result_.unanswered;
        return false;
      case Reply::Outcome::kTruncated:
        ++result_.truncated;
        return false;
      case Reply::Outcome::kComplete:
        break;
    }
    ++result_.answered;
    ++result_.by_status[reply.head.status];
    return reply.head.status < kFirstErrorStatus;
  }

  // Requests from each backend server stand-in how often it started each
  // operation. The loop ends after the last reply.
  void FetchRunCounts() {
    if (options_.backends.empty()) {
      event_base_loopbreak(base_.get());
      return;
    }
    result_.runs_checked = true;
    pending_run_counts_ = options_.backends.size();
    for (const std::string& backend : options_.backends) {
      pool_.Call(backend, "GET /runs HTTP/1.1\r\nHost: " + backend + "\r\n\r\n",
                 [this](const Reply& reply) { AddRunCounts(reply); });
    }
  }

  void AddRunCounts(const Reply& reply) {
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_object() && json.contains("operations")) {
      for (const auto& [id, starts] : json["operations"].items()) {
        start_counts_[id] += starts.get<uint64_t>();
      }
    } else {
      result_.runs_checked = false;
    }
    if (--pending_run_counts_ == 0) {
      event_base_loopbreak(base_.get());
    }
  }

  void Summarize() {
    for (const auto& [id, operation] : operations_) {
      const auto found = start_counts_.find(id);
      const uint64_t starts = found == start_counts_.end() ? 0 : found->second;
      result_.duplicate_runs += !operation.idempotent && starts > 1 ? 1 : 0;
      result_.false_not_run +=
          operation.verdict == RunVerdict::kNotRun && starts > 0 ? 1 : 0;
    }
    result_.lookups = lookups_.Summary();
    for (const auto& [name, histogram] : requests_) {
      result_.requests[name] = histogram.Summary();
    }
  }

  const Options& options_;
  const std::function<void(const Progress&)>& progress_;
  SystemClock clock_;
  std::unique_ptr<event_base, BaseDeleter> base_;
  CallerPool pool_;
  pcg64 random_;
  std::discrete_distribution<size_t> class_distribution_;
  EventPtr tick_event_;
  TimePoint start_;
  TimePoint next_due_;
  TimePoint last_progress_;
  size_t entry_vm_index_ = 0;
  uint64_t in_flight_ = 0;
  bool fetching_run_counts_ = false;
  size_t pending_run_counts_ = 0;
  Result result_;
  LatencyHistogram lookups_;
  std::map<std::string, LatencyHistogram> requests_;
  std::map<std::string, Operation> operations_;
  std::map<std::string, uint64_t> start_counts_;
};

}  // namespace

Result Run(const Options& options,
           const std::function<void(const Progress&)>& progress) {
  if (options.entry_vms.empty() || options.rate.value <= 0) {
    return {};
  }
  return LoadGenerator(options, progress).Run();
}

}  // namespace comfreystand::load
