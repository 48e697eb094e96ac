#include <evhtp/evhtp.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "standins/backend.h"
#include "standins/http_util.h"

// Changes the stand-in's behaviour over HTTP.
namespace comfreystand::standins {
namespace {

using Field = std::variant<int BackendBehaviour::*,
                           double BackendBehaviour::*,
                           bool BackendBehaviour::*,
                           Duration BackendBehaviour::*>;

struct NamedField {
  const char* name;
  Field field;
};

// Durations are integers in milliseconds.
constexpr std::array<NamedField, 14> kFields = {{
    {"slots", &BackendBehaviour::slots},
    {"queue", &BackendBehaviour::max_queued},
    {"max_connections", &BackendBehaviour::max_connections},
    {"connection_cost_ms", &BackendBehaviour::connection_cost},
    {"probe_cost_ms", &BackendBehaviour::probe_cost},
    {"work_ms", &BackendBehaviour::work},
    {"slowness", &BackendBehaviour::work_factor},
    {"cold_requests", &BackendBehaviour::cold_requests},
    {"cold_factor", &BackendBehaviour::cold_factor},
    {"load_lag_ms", &BackendBehaviour::load_report_age},
    {"load_lie", &BackendBehaviour::reported_busy},
    {"leaving", &BackendBehaviour::leaving},
    {"shedding", &BackendBehaviour::shedding},
    {"cancels", &BackendBehaviour::supports_cancel},
}};

// Sets a field from JSON. Returns false when the JSON type doesn't match.
struct Setter {
  BackendBehaviour& behaviour;
  const nlohmann::json& value;

  bool operator()(int BackendBehaviour::*field) const {
    if (!value.is_number_integer()) {
      return false;
    }
    behaviour.*field = value.get<int>();
    return true;
  }
  bool operator()(double BackendBehaviour::*field) const {
    if (!value.is_number()) {
      return false;
    }
    behaviour.*field = value.get<double>();
    return true;
  }
  bool operator()(bool BackendBehaviour::*field) const {
    if (!value.is_boolean()) {
      return false;
    }
    behaviour.*field = value.get<bool>();
    return true;
  }
  bool operator()(Duration BackendBehaviour::*field) const {
    if (!value.is_number_integer()) {
      return false;
    }
    behaviour.*field = std::chrono::milliseconds(value.get<int64_t>());
    return true;
  }
};

bool SetField(BackendBehaviour* behaviour,
              const std::string& name,
              const nlohmann::json& value) {
  for (const NamedField& entry : kFields) {
    if (name == entry.name) {
      return std::visit(Setter{*behaviour, value}, entry.field);
    }
  }
  return false;
}

}  // namespace

bool Backend::ApplyControl(const std::string& json_text) {
  const auto json = nlohmann::json::parse(json_text, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  BackendBehaviour changed = behaviour_;
  bool silence_open = false;
  for (const auto& [name, value] : json.items()) {
    if (name == "silence_open") {
      silence_open = value.is_boolean() && value.get<bool>();
    } else if (!SetField(&changed, name, value)) {
      return false;
    }
  }
  behaviour_ = changed;
  if (silence_open) {
    SilenceOpenConnections();
  }
  return true;
}

void Backend::OnControl(evhtp_request* request) {
  std::string body(evbuffer_get_length(request->buffer_in), '\0');
  evbuffer_copyout(request->buffer_in, body.data(), body.size());
  evhtp_send_reply(request,
                   ApplyControl(body) ? EVHTP_RES_OK : EVHTP_RES_BADREQ);
}

}  // namespace comfreystand::standins
