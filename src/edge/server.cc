#include <utility>

#include "comfreystand/edge.h"
#include "src/edge/server_impl.h"

namespace comfreystand::edge {
std::unique_ptr<Server> Server::Create(event_base* base,
                                       const Clock* clock,
                                       ServerInit init,
                                       steer::LookupSource* lookup,
                                       steer::Dispatcher* dispatcher,
                                       TicketAuthority* tickets,
                                       std::string* error) {
  if (init.require_tickets && !tickets) {
    *error = "tickets are required but there is no ticket authority";
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

void Server::SetCallerLimits(const CallerLimits& limits) {
  impl_->SetCallerLimits(limits);
}

void Server::SetDrainState(DrainState state) {
  impl_->SetDrainState(state);
}

void Server::SetStopSchedule(const StopSchedule& schedule) {
  impl_->SetStopSchedule(schedule);
}

void Server::ScheduleActions() {
  impl_->ScheduleActions();
}

bool Server::IsIdle() const {
  return impl_->IsIdle();
}

Caps Server::GetCaps() const {
  return impl_->GetCaps();
}

Stats Server::GetStats() const {
  return impl_->GetStats();
}

}  // namespace comfreystand::edge
