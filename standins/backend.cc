#include "standins/backend.h"

#include <evhtp/evhtp.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/http_util.h"

namespace comfreystand::standins {
namespace {

constexpr size_t kMaxRemembered = 20'000;
constexpr size_t kMaxLoadHistory = 4'096;
constexpr int kUnavailable = 503;

template <typename Function>
evhtp_hook ToHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicros = 1'000'000;
  return {duration.count() / kMicros, duration.count() % kMicros};
}

TimePoint Now() {
  return SystemClock().Now();
}

const char* Header(evhtp_request* request, const char* name) {
  const char* value = evhtp_header_find(request->headers_in, name);
  return value ? value : "";
}

int64_t QueryNumberOr(evhtp_request* request, const char* name, int64_t other) {
  return QueryText(request, name).empty() ? other : QueryNumber(request, name);
}

void SendJson(evhtp_request* request, const std::string& text) {
  AddHeader(request, "Content-Type", "application/json");
  evbuffer_add(request->buffer_out, text.data(), text.size());
  evhtp_send_reply(request, EVHTP_RES_OK);
}

// The operation's id on a line of its own, then filler up to `size` bytes.
std::string AnswerBody(const std::string& operation, size_t size) {
  std::string body = operation + "\n";
  body.resize(std::max(size, body.size()), 'x');
  return body;
}

}  // namespace

struct Backend::Connection {
  bool silent = false;
  bool used = false;
};

// One request from its arrival until its work is over. The request object may
// go earlier, when its connection closes.
struct Backend::Job {
  enum class State : uint8_t { kArriving, kWaiting, kRunning };

  Backend* owner = nullptr;
  evhtp_request* request = nullptr;
  State state = State::kArriving;
  bool probe = false;
  std::string operation;
  std::string attempt;
  TimePoint deadline = TimePoint::max();
  Duration work{0};
  int status = 200;
  size_t body_bytes = 0;
  int64_t cut = -1;
  bool chunked = false;
  bool close = false;
  std::string body_hash;
  event* timer = nullptr;

  ~Job() {
    if (timer) {
      event_free(timer);
    }
  }
};

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

int Backend::Starts(const std::string& operation) const {
  const auto found = starts_.find(operation);
  return found == starts_.end() ? 0 : found->second;
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
            ToHook(+[](evhtp_connection_t* closed, void* owner) -> evhtp_res {
              static_cast<Backend*>(owner)->connections_.erase(closed);
              return EVHTP_RES_OK;
            }),
            self);
        return EVHTP_RES_OK;
      },
      this);
  Route<&Backend::OnProbe>("/probe", false);
  Route<&Backend::OnLoad>("/load", false);
  Route<&Backend::OnRuns>("/runs", false);
  Route<&Backend::OnControl>("/control", false);
  Route<&Backend::OnCancel>("/cancel/*", true);
  evhtp_set_gencb(
      htp_,
      [](evhtp_request_t* request, void* arg) {
        auto* self = static_cast<Backend*>(arg);
        if (!self->IsSilent(request)) {
          self->OnWork(request);
        }
      },
      this);
  port_ = BindServer(htp_, address);
  return port_ != 0;
}

template <Backend::Handler handler>
void Backend::Route(const char* path, bool glob) {
  const auto call = [](evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Backend*>(arg);
    if (!self->IsSilent(request)) {
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

bool Backend::IsSilent(evhtp_request* request) {
  const bool silent = behaviour_.silent || connections_[request->conn].silent;
  if (silent) {
    evhtp_request_pause(request);
  }
  return silent;
}

// Keeps the request for an answer later.
void Backend::Hold(evhtp_request* request) {
  evhtp_request_pause(request);
}

Backend::Job* Backend::NewJob(evhtp_request* request) {
  auto owned = std::make_unique<Job>();
  Job* job = owned.get();
  jobs_.emplace(job, std::move(owned));
  job->owner = this;
  job->request = request;
  job->timer = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Job*>(arg);
        self->owner->OnJobTimer(self);
      },
      job);
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         ToHook(+[](evhtp_request_t*, void* arg) -> evhtp_res {
                           static_cast<Job*>(arg)->request = nullptr;
                           return EVHTP_RES_OK;
                         }),
                         job);
  Hold(request);
  return job;
}

void Backend::OnWork(evhtp_request* request) {
  ++counts_.requests;
  Job* job = NewJob(request);
  job->operation = Header(request, "Comfreystand-Operation");
  job->attempt = Header(request, "Comfreystand-Attempt");
  const int64_t default_work =
      std::chrono::duration_cast<std::chrono::milliseconds>(behaviour_.work)
          .count();
  job->work = std::chrono::milliseconds(
      QueryNumberOr(request, "work_ms", default_work));
  job->status = static_cast<int>(QueryNumberOr(request, "status", job->status));
  job->body_bytes = static_cast<size_t>(QueryNumber(request, "body_bytes"));
  job->cut = QueryNumberOr(request, "cut", -1);
  job->chunked = QueryNumber(request, "chunked") != 0;
  job->close = QueryNumber(request, "close") != 0;
  job->body_hash = std::to_string(StableHash(BodyOf(request)));
  const std::string deadline = Header(request, "Comfreystand-Deadline-Ms");
  if (!deadline.empty()) {
    job->deadline = Now() + std::chrono::milliseconds(
                                std::strtoll(deadline.c_str(), nullptr, 10));
  }
  if (!job->attempt.empty()) {
    by_attempt_[job->attempt] = job;
  }
  if (cancelled_.contains(job->attempt)) {
    Refuse(job);
    return;
  }
  Connection& connection = connections_[request->conn];
  if (!std::exchange(connection.used, true)) {
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
  const bool full = static_cast<int>(waiting_.size()) >= behaviour_.queue;
  if (behaviour_.shedding || (busy_ >= behaviour_.slots && full)) {
    Refuse(job);
  } else if (busy_ < behaviour_.slots) {
    Begin(job);
  } else {
    job->state = Job::State::kWaiting;
    waiting_.push_back(job);
  }
}

void Backend::Begin(Job* job) {
  if (Now() >= job->deadline) {
    ++counts_.deadlines_passed;
    Refuse(job);
    return;
  }
  ++busy_;
  job->state = Job::State::kRunning;
  double factor = behaviour_.slowness;
  if (!job->probe) {
    ++counts_.started;
    if (!job->operation.empty()) {
      ++starts_[job->operation];
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
  if (job->state == Job::State::kArriving) {
    Admit(job);
  } else {
    Finish(job);
  }
}

void Backend::Finish(Job* job) {
  --busy_;
  ++counts_.finished;
  SendAnswer(job);
  EndJob(job);
  StartQueued();
}

void Backend::StartQueued() {
  while (busy_ < behaviour_.slots && !waiting_.empty()) {
    Job* next = waiting_.front();
    waiting_.pop_front();
    Begin(next);
  }
}

void Backend::Refuse(Job* job) {
  ++counts_.refused;
  Answer(job, kUnavailable, "no");
  EndJob(job);
}

// Answers without a result.
void Backend::Answer(Job* job, int status, const char* started) {
  evhtp_request* request = job->request;
  if (!request) {
    return;
  }
  evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
  AddHeader(request, "Comfreystand-Started", started);
  AddHeader(request, "Comfreystand-Free-Slots",
            std::to_string(std::max(behaviour_.slots - busy_, 0)));
  if (behaviour_.leaving) {
    AddHeader(request, "Comfreystand-Leaving", "yes");
  }
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
  evhtp_request_resume(request);
  job->request = nullptr;
}

void Backend::EndJob(Job* job) {
  if (!job->attempt.empty()) {
    by_attempt_.erase(job->attempt);
    Remember(job->attempt);
  }
  if (job->request) {
    evhtp_request_unset_hook(job->request, evhtp_hook_on_request_fini);
  }
  jobs_.erase(job);
}

void Backend::Remember(const std::string& attempt) {
  if (ended_.insert(attempt).second) {
    remembered_order_.push_back(attempt);
  }
  if (remembered_order_.size() > kMaxRemembered) {
    ended_.erase(remembered_order_.front());
    cancelled_.erase(remembered_order_.front());
    remembered_order_.pop_front();
  }
}

void Backend::SendAnswer(Job* job) {
  evhtp_request* request = job->request;
  if (!request) {
    return;
  }
  evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
  job->request = nullptr;
  AddHeader(request, "Content-Type", "text/plain");
  AddHeader(request, "Comfreystand-Operation", job->operation);
  AddHeader(request, "Comfreystand-Body-Hash", job->body_hash);
  AddHeader(request, "Comfreystand-Free-Slots",
            std::to_string(std::max(behaviour_.slots - busy_, 0)));
  if (behaviour_.leaving) {
    AddHeader(request, "Comfreystand-Leaving", "yes");
  }
  const auto status = static_cast<evhtp_res>(job->status);
  const std::string body = AnswerBody(job->operation, job->body_bytes);
  if (job->cut >= 0 || job->close) {
    // Written by hand, since the framing is meant to be wrong or missing.
    const size_t size =
        job->cut >= 0 ? std::min(body.size(), static_cast<size_t>(job->cut))
                      : body.size();
    std::string text = "HTTP/1.1 " + std::to_string(job->status) + " OK\r\n";
    text += job->close
                ? "Connection: close\r\n\r\n"
                : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    evbuffer_add(bufferevent_get_output(request->conn->bev), text.data(),
                 text.size());
    evbuffer_add(bufferevent_get_output(request->conn->bev), body.data(), size);
    request->flags &= static_cast<uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
    evhtp_send_reply_end(request);
  } else if (job->chunked) {
    evbuffer* chunk = evbuffer_new();
    evhtp_send_reply_chunk_start(request, status);
    evbuffer_add(chunk, body.data(), body.size());
    evhtp_send_reply_chunk(request, chunk);
    evhtp_send_reply_chunk_end(request);
    evbuffer_free(chunk);
  } else {
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, status);
  }
  request->conn->flags &= static_cast<uint16_t>(~EVHTP_CONN_FLAG_PAUSED);
  bufferevent_enable(request->conn->bev, EV_READ);
}

void Backend::OnCancel(evhtp_request* request) {
  std::string_view path = request->uri->path->full;
  const std::string attempt(path.substr(path.rfind('/') + 1));
  if (!behaviour_.cancels) {
    evhtp_send_reply(request, EVHTP_RES_NOTFOUND);
    return;
  }
  const auto found = by_attempt_.find(attempt);
  if (found == by_attempt_.end()) {
    const bool known = ended_.contains(attempt);
    if (!known) {
      cancelled_.insert(attempt);
      Remember(attempt);
    }
    const bool not_started = cancelled_.contains(attempt);
    AddHeader(request, "Comfreystand-Known", known ? "yes" : "no");
    AddHeader(request, "Comfreystand-Started", not_started ? "no" : "yes");
    evhtp_send_reply(request, EVHTP_RES_OK);
    return;
  }
  Job* job = found->second;
  const bool running = job->state == Job::State::kRunning;
  AddHeader(request, "Comfreystand-Known", "yes");
  AddHeader(request, "Comfreystand-Started", running ? "yes" : "no");
  evhtp_send_reply(request, EVHTP_RES_OK);
  ++(running ? counts_.cancelled_running : counts_.cancelled_before_start);
  if (!running) {
    cancelled_.insert(attempt);
    std::erase(waiting_, job);
  }
  event_del(job->timer);
  Answer(job, kUnavailable, running ? "yes" : "no");
  EndJob(job);
  if (running) {
    --busy_;
    StartQueued();
  }
}

std::string Backend::LoadText() {
  const TimePoint now = Now();
  load_history_.emplace_back(now, busy_);
  while (load_history_.size() > kMaxLoadHistory) {
    load_history_.pop_front();
  }
  const auto newer = std::find_if(
      load_history_.begin(), load_history_.end(), [&](const auto& entry) {
        return entry.first > now - behaviour_.load_lag;
      });
  const auto& shown =
      newer == load_history_.begin() ? load_history_.front() : *(newer - 1);
  const int busy =
      behaviour_.load_lie >= 0 ? behaviour_.load_lie : shown.second;
  return nlohmann::json{
      {"busy", busy}, {"slots", behaviour_.slots}, {"age_ms", 0}}
      .dump();
}

void Backend::OnLoad(evhtp_request* request) {
  SendJson(request, LoadText());
}

void Backend::OnRuns(evhtp_request* request) {
  const nlohmann::json json = {
      {"operations", starts_},
      {"requests", counts_.requests},
      {"started", counts_.started},
      {"finished", counts_.finished},
      {"refused", counts_.refused},
      {"cancelled_before_start", counts_.cancelled_before_start},
      {"cancelled_running", counts_.cancelled_running},
      {"probes", counts_.probes},
      {"connections", counts_.connections}};
  SendJson(request, json.dump());
}

}  // namespace comfreystand::standins
