#include "programs/laburnumkeel-proxy/account_gate.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::proxy {

using kernel::Instant;

AccountGate::AccountGate(ProxyContext& context,
                         std::function<void()> request_grant)
    : context(context), request_grant(std::move(request_grant)) {}

void AccountGate::Admit(const std::string& name, Handler handler) {
  if (!this->context.configuration->accounts.contains(name)) {
    handler(true);
    return;
  }
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  account.allowance.CountDemand(now);
  if (account.waiting.empty() && account.allowance.TryPass(now)) {
    handler(true);
    return;
  }
  if (now < account.exhausted_until ||
      now >= this->answered_at + kCoordinatorAway) {
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

void AccountGate::OnGrant(const std::string& name,
                          const limits::AccountGrant& grant, Instant sent) {
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  account.allowance.OnGrant(grant, sent, now);
  this->Serve(account, now);
  // What was asked for before the report and still waits was not granted.
  while (!account.waiting.empty() && account.waiting.front().since <= sent) {
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
           now >= account.waiting.front().since + kMaximumWait) {
      const Handler handler = std::move(account.waiting.front().handler);
      account.waiting.pop_front();
      handler(false);
    }
  }
}

}  // namespace laburnumkeel::proxy
