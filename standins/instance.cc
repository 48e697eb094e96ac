#include "standins/instance.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace comfreystand::standins {
namespace {

namespace names = platform::names;

constexpr char kHealthPath[] = "/health";

std::string RequestHeader(const ExchangePtr& exchange, const char* name) {
  const std::string* value = edge::FindHeader(exchange->head().headers, name);
  return value ? *value : std::string();
}

}  // namespace

Instance::Instance(EventLoop* loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      server_(
          loop->base(),
          [this](const ExchangePtr& exchange) { OnRequest(exchange); },
          [this](const ExchangePtr& exchange) { OnHead(exchange); }) {
  port_ = server_.Listen("127.0.0.1:0");
}

Instance::~Instance() = default;

void Instance::Crash() {
  server_.StopListening();
  server_.CloseConnections();
}

bool Instance::StartAgain() {
  return server_.Listen(address()) == port_;
}

int Instance::MostRunsWithin(Duration time, TimePoint start) const {
  int most = 0;
  for (auto first = run_times_.begin(); first != run_times_.end(); ++first) {
    const auto end = std::find_if(first, run_times_.end(), [&](TimePoint run) {
      return run >= *first + time;
    });
    if (*first >= start) {
      most = std::max(most, static_cast<int>(end - first));
    }
  }
  return most;
}

int Instance::RunCount(const std::string& request_id) const {
  const auto found = run_counts_.find(request_id);
  return found == run_counts_.end() ? 0 : found->second;
}

std::string Instance::LastHeader(const std::string& header) const {
  const std::string* value = edge::FindHeader(last_headers_, header);
  return value ? *value : std::string();
}

std::string Instance::ResponseHead(const ExchangePtr& exchange,
                                   int status) const {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     edge::ReasonPhrase(status) + "\r\n" + names::kRequestId +
                     ": " + RequestHeader(exchange, names::kRequestId) +
                     "\r\n" + names::kServerLoad + ": " +
                     std::to_string(busy_) + ",0," +
                     std::to_string(behaviour_.slots) + "\r\n";
  if (behaviour_.leaving) {
    text += std::string(names::kServerLeaving) + ": 1\r\n";
  }
  if (!behaviour_.limit.empty()) {
    text += std::string(names::kServerLimit) + ": " + behaviour_.limit + "\r\n";
  }
  if (exchange->Query("stamp") != "0") {
    text += std::string(names::kServerStamp) + ": " + name_ + "\r\n";
  }
  return text;
}

void Instance::OnHead(const ExchangePtr& exchange) {
  if (exchange->QueryNumber("early") == 1) {
    Run(exchange);
  }
}

void Instance::AnswerHealthCheck(const ExchangePtr& exchange) {
  ++health_checks_;
  std::vector<Header> headers = {{names::kInstanceId, name_}};
  if (behaviour_.cold_ms > 0) {
    headers.push_back({names::kColdMs, std::to_string(behaviour_.cold_ms)});
  }
  if (behaviour_.leaving) {
    headers.push_back({names::kServerLeaving, "1"});
  }
  exchange->Respond(behaviour_.leaving ? 503 : 200, "", headers);
}

void Instance::OnRequest(const ExchangePtr& exchange) {
  if (exchange->head().path == kHealthPath) {
    AnswerHealthCheck(exchange);
    return;
  }
  last_headers_ = exchange->head().headers;
  last_target_ = exchange->head().target;
  last_body_ = exchange->body();
  if (exchange->QueryNumber("early") == 1) {
    return;
  }
  const std::string expected = RequestHeader(exchange, names::kExpectInstance);
  if (!expected.empty() && expected != name_) {
    exchange->Respond(
        421, "",
        {{names::kRequestId, RequestHeader(exchange, names::kRequestId)}});
    return;
  }
  if (behaviour_.shedding) {
    Refuse(exchange);
    return;
  }
  Run(exchange);
}

void Instance::Refuse(const ExchangePtr& exchange) {
  ++refusals_;
  std::string answer = ResponseHead(exchange, 503) + names::kNotExecuted +
                       ": 1\r\nContent-Length: 0\r\n";
  if (!behaviour_.retry_after.empty()) {
    answer += std::string(names::kRetryAfter) + ": " + behaviour_.retry_after +
              "\r\n";
  }
  exchange->SendRaw(answer + "\r\n");
  exchange->Finish();
}

void Instance::Run(const ExchangePtr& exchange) {
  ++run_counts_[RequestHeader(exchange, names::kRequestId)];
  ++total_runs_;
  run_times_.push_back(loop_->Now());
  ++busy_;
  const bool has_work_ms = !exchange->Query("work_ms").empty();
  const int64_t work_ms =
      has_work_ms ? exchange->QueryNumber("work_ms") : behaviour_.work_ms;
  const auto finished = std::make_shared<bool>(false);
  exchange->SetDisconnectHandler(
      [this, finished, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
          *finished = true;
          --busy_;
          ++cancelled_;
        }
      });
  auto finish = [this, exchange, finished,
                 alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || *finished) {
      return;
    }
    *finished = true;
    --busy_;
    exchange->SetDisconnectHandler({});
    SendResponse(exchange);
  };
  if (exchange->QueryNumber("hold") == 1) {
    held_requests_.push_back(std::move(finish));
    return;
  }
  loop_->PostDelayed(std::chrono::milliseconds(work_ms), std::move(finish));
}

void Instance::ReleaseHeldRequests() {
  for (const auto& finish : std::exchange(held_requests_, {})) {
    finish();
  }
}

void Instance::SendResponse(const ExchangePtr& exchange) {
  const int64_t status = exchange->QueryNumber("status");
  const std::string head =
      ResponseHead(exchange, status == 0 ? 200 : static_cast<int>(status));
  const std::string body(
      static_cast<size_t>(exchange->QueryNumber("bytes")) + 4, 'x');
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (exchange->QueryNumber("unframed") == 1) {
    exchange->SendRaw(head + "Connection: close\r\n\r\n" + body);
    exchange->FinishAndClose();
    return;
  }
  if (exchange->QueryNumber("chunked") == 1) {
    exchange->SendRaw(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n");
    exchange->SendRaw("0\r\n\r\n");
    exchange->Finish();
    return;
  }
  if (!exchange->Query("head_cut").empty()) {
    const auto kept = static_cast<size_t>(exchange->QueryNumber("head_cut"));
    exchange->SendRaw((head + length).substr(0, kept));
    exchange->FinishAndClose();
    return;
  }
  if (!exchange->Query("cut").empty()) {
    const auto kept = static_cast<size_t>(exchange->QueryNumber("cut"));
    exchange->SendRaw(head + length + body.substr(0, kept));
    exchange->FinishAndClose();
    return;
  }
  exchange->SendRaw(head + length + body);
  if (exchange->QueryNumber("extra") == 1) {
    exchange->SendRaw(head + length + body);
  }
  exchange->Finish();
}

}  // namespace comfreystand::standins
