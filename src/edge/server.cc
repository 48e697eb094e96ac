#include <utility>

#include "comfreystand/edge.h"
#include "src/edge/server_impl.h"

namespace comfreystand::edge {
namespace {

// Indexed by Fault.
constexpr std::array<std::string_view, static_cast<size_t>(Fault::kCount)>
    kFaultNames = {
        "malformed",        "headers_too_large", "body_too_large",
        "unknown_service",  "unknown_path",      "bad_header_value",
        "deadline_passed",  "ticket_missing",    "ticket_refused",
        "too_many_callers", "caller_timeout",    "caller_reset",
        "answer_truncated", "answer_too_large",
};

}  // namespace

std::string_view ToString(Fault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

std::unique_ptr<Server> Server::Create(event_base* base,
                                       const Clock* clock,
                                       ServerInit init,
                                       steer::LookupSource* lookup,
                                       steer::Dispatcher* dispatcher,
                                       TicketAuthority* tickets,
                                       std::string* error) {
  if (init.require_tickets && !tickets) {
    *error = "tickets are required but nothing issues them";
    return nullptr;
  }
  auto impl = std::make_unique<Impl>(base, clock, std::move(init), lookup,
                                     dispatcher, tickets);
  if (!impl->Listen(error)) {
    return nullptr;
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() = default;

void Server::SetBackends(const std::vector<BackendAddress>& backends) {
  impl_->SetBackends(backends);
}

void Server::SetSites(const std::vector<SiteAddresses>& sites) {
  impl_->SetSites(sites);
}

void Server::SetTables(std::vector<ServiceName> services,
                       std::vector<ClassName> classes) {
  impl_->SetTables(std::move(services), std::move(classes));
}

void Server::SetDrainState(DrainState state) {
  impl_->SetDrainState(state);
}

void Server::Poke() {
  impl_->Poke();
}

bool Server::Idle() const {
  return impl_->Idle();
}

Caps Server::GetCaps() const {
  return impl_->GetCaps();
}

Stats Server::GetStats() const {
  return impl_->GetStats();
}

}  // namespace comfreystand::edge
