#include "standins/backend.h"

#include <evhtp/evhtp.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/loop/event_handles.h"
#include "standins/backend_job.h"
#include "standins/http_util.h"

namespace comfreystand::standins {
namespace {

constexpr size_t kMaxRememberedAttempts = 20'000;
constexpr int kUnavailable = 503;

template <typename Function>
evhtp_hook ToHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

TimePoint Now() {
  return SystemClock().Now();
}

const char* RequestHeader(evhtp_request* request, const char* name) {
  const char* value = evhtp_header_find(request->headers_in, name);
  return value ? value : "";
}

int64_t QueryNumberOr(evhtp_request* request,
                      const char* name,
                      int64_t fallback) {
  return QueryValue(request, name).empty() ? fallback
                                           : QueryNumber(request, name);
}

}  // namespace

Backend::Backend(event_base* base, const BackendBehaviour& behaviour)
    : base_(base), behaviour_(behaviour) {}

Backend::~Backend() {
  if (!htp_) {
    return;
  }
  evhtp_unbind_socket(htp_);
  CloseOpenConnections();
  evhtp_free(htp_);
}

std::string Backend::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

int Backend::open_connections() const {
  return static_cast<int>(connections_.size());
}

int Backend::StartCount(const std::string& operation) const {
  const auto found = start_counts_.find(operation);
  return found == start_counts_.end() ? 0 : found->second;
}

bool Backend::Listen(const std::string& address) {
  htp_ = evhtp_new(base_, this);
  evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb(
      htp_,
      [](evhtp_connection_t* conn, void* arg) -> evhtp_res {
        auto* self = static_cast<Backend*>(arg);
        if (self->open_connections() >= self->behaviour_.max_connections) {
          return EVHTP_RES_ERROR;
        }
        ++self->counts_.connections;
        self->connections_[conn].silent = false;
        evhtp_connection_set_hook(
            conn, evhtp_hook_on_connection_fini,
            ToHook(+[](evhtp_connection_t* closed, void* backend) -> evhtp_res {
              static_cast<Backend*>(backend)->connections_.erase(closed);
              return EVHTP_RES_OK;
            }),
            self);
        return EVHTP_RES_OK;
      },
      this);
  RegisterHandler<&Backend::OnProbe>("/probe", false);
  RegisterHandler<&Backend::OnLoad>("/load", false);
  RegisterHandler<&Backend::OnRuns>("/runs", false);
  RegisterHandler<&Backend::OnControl>("/control", false);
  RegisterHandler<&Backend::OnCancel>("/cancel/*", true);
  evhtp_set_gencb(
      htp_,
      [](evhtp_request_t* request, void* arg) {
        auto* self = static_cast<Backend*>(arg);
        if (!self->PauseIfSilent(request)) {
          self->OnWork(request);
        }
      },
      this);
  port_ = BindServer(htp_, address);
  return port_ != 0;
}

template <Backend::Handler handler>
void Backend::RegisterHandler(const char* path, bool glob) {
  const auto call = [](evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Backend*>(arg);
    if (!self->PauseIfSilent(request)) {
      (self->*handler)(request);
    }
  };
  if (glob) {
    evhtp_set_glob_cb(htp_, path, call, this);
  } else {
    evhtp_set_cb(htp_, path, call, this);
  }
}

void Backend::SilenceOpenConnections() {
  for (auto& [conn, state] : connections_) {
    state.silent = true;
  }
}

void Backend::CloseOpenConnections() {
  while (!connections_.empty()) {
    evhtp_connection_free(connections_.begin()->first);
  }
}

bool Backend::PauseIfSilent(evhtp_request* request) {
  const bool silent = behaviour_.silent || connections_[request->conn].silent;
  if (silent) {
    evhtp_request_pause(request);
  }
  return silent;
}

// Suspends the request until its response is sent.
void Backend::PauseRequest(evhtp_request* request) {
  evhtp_request_pause(request);
}

Backend::Job* Backend::NewJob(evhtp_request* request) {
  auto owned = std::make_unique<Job>();
  Job* job = owned.get();
  jobs_.emplace(job, std::move(owned));
  job->backend = this;
  job->request = request;
  job->timer = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Job*>(arg);
        self->backend->OnJobTimer(self);
      },
      job);
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         ToHook(+[](evhtp_request_t*, void* arg) -> evhtp_res {
                           static_cast<Job*>(arg)->request = nullptr;
                           return EVHTP_RES_OK;
                         }),
                         job);
  PauseRequest(request);
  return job;
}

void Backend::OnWork(evhtp_request* request) {
  ++counts_.requests;
  Job* job = NewJob(request);
  job->operation = RequestHeader(request, "Comfreystand-Operation");
  job->attempt = RequestHeader(request, "Comfreystand-Attempt");
  const int64_t default_work =
      std::chrono::duration_cast<std::chrono::milliseconds>(behaviour_.work)
          .count();
  job->work = std::chrono::milliseconds(
      QueryNumberOr(request, "work_ms", default_work));
  job->status = static_cast<int>(QueryNumberOr(request, "status", job->status));
  job->body_bytes = static_cast<size_t>(QueryNumber(request, "body_bytes"));
  job->truncate_at = QueryNumberOr(request, "cut", -1);
  job->chunked = QueryNumber(request, "chunked") != 0;
  job->close_after = QueryNumber(request, "close") != 0;
  job->body_hash = std::to_string(StableHash(RequestBody(request)));
  const std::string deadline =
      RequestHeader(request, "Comfreystand-Deadline-Ms");
  if (!deadline.empty()) {
    job->deadline = Now() + std::chrono::milliseconds(
                                std::strtoll(deadline.c_str(), nullptr, 10));
  }
  if (!job->attempt.empty()) {
    jobs_by_attempt_[job->attempt] = job;
  }
  if (cancelled_attempts_.contains(job->attempt)) {
    Refuse(job);
    return;
  }
  Connection& connection = connections_[request->conn];
  if (!std::exchange(connection.set_up, true)) {
    const timeval wait = ToTimeval(behaviour_.connection_cost);
    event_add(job->timer, &wait);
    return;
  }
  Admit(job);
}

void Backend::OnProbe(evhtp_request* request) {
  ++counts_.probes;
  Job* job = NewJob(request);
  job->probe = true;
  job->work = behaviour_.probe_cost;
  Admit(job);
}

void Backend::Admit(Job* job) {
  const bool full = static_cast<int>(queue_.size()) >= behaviour_.max_queued;
  if (behaviour_.shedding || (busy_ >= behaviour_.slots && full)) {
    Refuse(job);
  } else if (busy_ < behaviour_.slots) {
    StartJob(job);
  } else {
    job->state = Job::State::kQueued;
    queue_.push_back(job);
  }
}

void Backend::StartJob(Job* job) {
  if (Now() >= job->deadline) {
    ++counts_.deadlines_exceeded;
    Refuse(job);
    return;
  }
  ++busy_;
  job->state = Job::State::kRunning;
  double factor = behaviour_.work_factor;
  if (!job->probe) {
    ++counts_.started;
    if (!job->operation.empty()) {
      ++start_counts_[job->operation];
    }
    if (behaviour_.cold_requests > 0) {
      --behaviour_.cold_requests;
      factor *= behaviour_.cold_factor;
    }
  }
  const timeval wait = ToTimeval(Duration(
      static_cast<int64_t>(static_cast<double>(job->work.count()) * factor)));
  event_add(job->timer, &wait);
}

void Backend::OnJobTimer(Job* job) {
  if (job->state == Job::State::kConnecting) {
    Admit(job);
  } else {
    Finish(job);
  }
}

void Backend::Finish(Job* job) {
  --busy_;
  ++counts_.finished;
  SendResponse(job);
  RemoveJob(job);
  StartQueuedJobs();
}

void Backend::StartQueuedJobs() {
  while (busy_ < behaviour_.slots && !queue_.empty()) {
    Job* next = queue_.front();
    queue_.pop_front();
    StartJob(next);
  }
}

void Backend::Refuse(Job* job) {
  ++counts_.refused;
  SendErrorResponse(job, kUnavailable, "no");
  RemoveJob(job);
}

void Backend::RemoveJob(Job* job) {
  if (!job->attempt.empty()) {
    jobs_by_attempt_.erase(job->attempt);
    RememberAttempt(job->attempt);
  }
  if (job->request) {
    evhtp_request_unset_hook(job->request, evhtp_hook_on_request_fini);
  }
  jobs_.erase(job);
}

void Backend::RememberAttempt(const std::string& attempt) {
  if (finished_attempts_.insert(attempt).second) {
    finished_order_.push_back(attempt);
  }
  if (finished_order_.size() > kMaxRememberedAttempts) {
    finished_attempts_.erase(finished_order_.front());
    cancelled_attempts_.erase(finished_order_.front());
    finished_order_.pop_front();
  }
}

}  // namespace comfreystand::standins
