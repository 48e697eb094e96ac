#include <evhtp/evhtp.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standins/backend_job.h"
#include "standins/http_util.h"

// Responses of the stand-in: results, refusals, cancellations and load reports.
namespace comfreystand::standins {
namespace {

constexpr int kUnavailable = 503;
constexpr size_t kMaxLoadHistory = 4'096;

void SendJson(evhtp_request* request, const std::string& text) {
  AddHeader(request, "Content-Type", "application/json");
  evbuffer_add(request->buffer_out, text.data(), text.size());
  evhtp_send_reply(request, EVHTP_RES_OK);
}

// The operation's id on a line of its own, padded to `size` bytes.
std::string ResponseBody(const std::string& operation, size_t size) {
  std::string body = operation + "\n";
  body.resize(std::max(size, body.size()), 'x');
  return body;
}

}  // namespace

// Sends a response without a result and detaches the request from the job.
void Backend::SendErrorResponse(Job* job, int status, const char* started) {
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

void Backend::SendResponse(Job* job) {
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
  const std::string body = ResponseBody(job->operation, job->body_bytes);
  if (job->truncate_at >= 0 || job->close_after) {
    // Bypasses libevhtp, since the Content-Length is intentionally wrong or
    // missing.
    const size_t size =
        job->truncate_at >= 0
            ? std::min(body.size(), static_cast<size_t>(job->truncate_at))
            : body.size();
    std::string text = "HTTP/1.1 " + std::to_string(job->status) + " OK\r\n";
    text += job->close_after
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
  if (!behaviour_.supports_cancel) {
    evhtp_send_reply(request, EVHTP_RES_NOTFOUND);
    return;
  }
  const auto found = jobs_by_attempt_.find(attempt);
  if (found == jobs_by_attempt_.end()) {
    const bool known = finished_attempts_.contains(attempt);
    if (!known) {
      cancelled_attempts_.insert(attempt);
      RememberAttempt(attempt);
    }
    const bool not_started = cancelled_attempts_.contains(attempt);
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
    cancelled_attempts_.insert(attempt);
    std::erase(queue_, job);
  }
  event_del(job->timer);
  SendErrorResponse(job, kUnavailable, running ? "yes" : "no");
  RemoveJob(job);
  if (running) {
    --busy_;
    StartQueuedJobs();
  }
}

std::string Backend::LoadReport() {
  const TimePoint now = SystemClock().Now();
  load_history_.emplace_back(now, busy_);
  while (load_history_.size() > kMaxLoadHistory) {
    load_history_.pop_front();
  }
  const auto first_too_recent = std::find_if(
      load_history_.begin(), load_history_.end(), [&](const auto& entry) {
        return entry.first > now - behaviour_.load_report_age;
      });
  const auto& reported = first_too_recent == load_history_.begin()
                             ? load_history_.front()
                             : *(first_too_recent - 1);
  const int busy = behaviour_.reported_busy >= 0 ? behaviour_.reported_busy
                                                 : reported.second;
  return nlohmann::json{
      {"busy", busy}, {"slots", behaviour_.slots}, {"age_ms", 0}}
      .dump();
}

void Backend::OnLoad(evhtp_request* request) {
  SendJson(request, LoadReport());
}

void Backend::OnRuns(evhtp_request* request) {
  const nlohmann::json json = {
      {"operations", start_counts_},
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
