#include "programs/laburnumkeel-proxy/account_gate.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/limits/vm_share.h"

namespace laburnumkeel::proxy {

using kernel::Instant;

limits::ShareAmount AccountLimit(
    const platform_adapter::ProxySettings& settings,
    const model::ClientAccount& account) {
  return limits::EqualVmShare(
      account.operations_per_second, account.burst,
      {settings.rate_window, settings.rate_overrun, settings.rate_tolerance},
      1);
}

AccountGate::AccountGate(ProxyContext& context,
                         std::function<void()> request_grant)
    : context(context),
      request_grant(std::move(request_grant)),
      answered_at(context.clock.Now()) {}

std::chrono::milliseconds AccountGate::MaximumWait(Instant now) const {
  if (now < this->answered_at + kCoordinatorAway) {
    return kMaximumWait;
  }
  if (now < this->answered_at + kCoordinatorGone) {
    return kWaitForCoordinator;
  }
  return std::chrono::milliseconds(0);
}

void AccountGate::Admit(const std::string& name, Handler handler) {
  const auto& known = this->context.configuration->accounts;
  const auto limit = known.find(name);
  if (limit == known.end()) {
    handler(true);
    return;
  }
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  account.allowance.SetReserve(
      limits::RateCoordinator::Reserve(
          AccountLimit(this->context.settings, limit->second),
          this->context.vm_count),
      now);
  account.allowance.CountDemand(now);
  if (account.waiting.empty() && account.allowance.TryPass(now)) {
    handler(true);
    return;
  }
  if (now < account.exhausted_until || this->MaximumWait(now).count() == 0) {
    handler(false);
    return;
  }
  account.waiting.push_back({now, std::move(handler)});
  this->request_grant();
}

std::map<std::string, limits::AccountReport> AccountGate::Report(
    Instant now) const {
  std::map<std::string, limits::AccountReport> report;
  for (const auto& [name, account] : this->accounts) {
    if (!account.allowance.IsUnused(now)) {
      report[name] = account.allowance.Report(
          static_cast<int>(account.waiting.size()), now);
    }
  }
  return report;
}

std::map<std::string, limits::AccountReport> AccountGate::ReportWaiting(
    Instant now) const {
  std::map<std::string, limits::AccountReport> report;
  for (const auto& [name, account] : this->accounts) {
    if (!account.waiting.empty()) {
      report[name] = account.allowance.Report(
          static_cast<int>(account.waiting.size()), now);
    }
  }
  return report;
}

void AccountGate::OnGrant(const std::string& name,
                          const limits::AccountGrant& grant, Instant sent) {
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  account.allowance.OnGrant(grant, sent, now);
  this->Serve(account, now);
  // What was asked for before the report and still waits was not granted.
  while (!grant.is_more_soon && !account.waiting.empty() &&
         account.waiting.front().since <= sent) {
    account.exhausted_until = now + kExhaustedPause;
    const Handler handler = std::move(account.waiting.front().handler);
    account.waiting.pop_front();
    handler(false);
  }
  if (!account.waiting.empty()) {
    this->request_grant();
  }
}

void AccountGate::OnAnswer(Instant sent) {
  this->answered_at = std::max(this->answered_at, sent);
}

void AccountGate::Serve(Account& account, Instant now) {
  while (!account.waiting.empty() && account.allowance.TryPass(now)) {
    const Handler handler = std::move(account.waiting.front().handler);
    account.waiting.pop_front();
    handler(true);
  }
}

void AccountGate::Tick(Instant now) {
  for (auto& [name, account] : this->accounts) {
    if (account.waiting.empty()) {
      continue;
    }
    this->Serve(account, now);
    while (!account.waiting.empty() &&
           now >= account.waiting.front().since + this->MaximumWait(now)) {
      const Handler handler = std::move(account.waiting.front().handler);
      account.waiting.pop_front();
      handler(false);
    }
  }
}

}  // namespace laburnumkeel::proxy
