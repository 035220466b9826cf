#include "programs/laburnumkeel-proxy/account_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/limits/vm_share.h"
#include "programs/laburnumkeel-proxy/events.h"

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
      last_contact(context.clock.Now()) {}

void AccountGate::UseDelegates(limits::DelegateSearch& new_search,
                               limits::DelegatePool& new_pool,
                               std::function<void()> request) {
  this->search = &new_search;
  this->pool = &new_pool;
  this->request_operations = std::move(request);
}

std::chrono::milliseconds AccountGate::MaximumWait(Instant now) const {
  if (this->HasDelegates() &&
      (this->has_contact ||
       now >= this->last_contact + kCoordinatorUnavailable)) {
    return limits::DelegateSearch::kMaximumWait;
  }
  if (this->has_contact &&
      now < this->last_contact + kCoordinatorUnresponsive) {
    return kMaximumWait;
  }
  if (now < this->last_contact + kCoordinatorUnavailable) {
    return kMaximumWaitUnresponsive;
  }
  return std::chrono::milliseconds(0);
}

void AccountGate::Admit(const std::string& name, const std::string& request,
                        Handler handler) {
  const auto& configured_accounts = this->context.configuration->accounts;
  const auto limit = configured_accounts.find(name);
  if (limit == configured_accounts.end()) {
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
  if (this->HasDelegates()) {
    account.waiting.push_back({now, Instant(), request, std::move(handler)});
    account.waiting.back().search.since = now;
    account.waiting.back().stage = Stage::kPausing;
    this->AdvanceWaiting(name, account, now,
                         [&](const WaitingOperation& operation) {
                           return &operation == &account.waiting.back();
                         });
    return;
  }
  if (now < account.exhausted_until || this->MaximumWait(now).count() == 0) {
    this->Refuse(name, account, {now, Instant(), request, std::move(handler)},
                 now < account.exhausted_until ? "just refused by the leader"
                                               : "no leader answers",
                 now);
    return;
  }
  account.waiting.push_back({now, Instant(), request, std::move(handler)});
  this->request_grant();
}

std::map<std::string, limits::AccountReport> AccountGate::Report(Instant now) {
  std::map<std::string, limits::AccountReport> report;
  for (auto& [name, account] : this->accounts) {
    if (!account.allowance.IsUnused(now)) {
      report[name] =
          account.allowance.Report(TakeDueRequests(account, now), now);
    }
  }
  return report;
}

std::map<std::string, limits::AccountReport> AccountGate::ReportWaiting(
    Instant now) {
  std::map<std::string, limits::AccountReport> report;
  for (auto& [name, account] : this->accounts) {
    if (const int waiting_operations = TakeDueRequests(account, now)) {
      report[name] = account.allowance.Report(waiting_operations, now);
    }
  }
  return report;
}

bool AccountGate::MayAskCoordinator(const Account& account,
                                    const WaitingOperation& operation,
                                    Instant now) const {
  return !operation.is_refused_by_coordinator &&
         now >= account.exhausted_until &&
         now < this->last_contact + kCoordinatorUnresponsive;
}

AccountGate::Outcome AccountGate::Advance(const std::string& name,
                                          Account& account,
                                          WaitingOperation& operation,
                                          Instant now) {
  using Kind = limits::DelegateSearch::Step::Kind;
  if (!this->HasDelegates()) {
    operation.stage = Stage::kCoordinator;
    this->request_grant();
    return Outcome::kWaiting;
  }
  auto step = this->search->Next(name, operation.search, now);
  if (step.kind == Kind::kAsk && step.vm == this->context.settings.vm) {
    const limits::DelegateGrant own = this->pool->Take(name, 1, now);
    if (own.operations > 0) {
      return Outcome::kAdmitted;
    }
    operation.search.refused_by.insert(step.vm);
    this->search->OnRefused(name, step.vm, own.retry_after, now);
    step = this->search->Next(name, operation.search, now);
  }
  if (step.kind == Kind::kAsk) {
    operation.stage = Stage::kUnsent;
    operation.delegate = step.vm;
    this->request_operations();
    return Outcome::kWaiting;
  }
  if (this->MayAskCoordinator(account, operation, now)) {
    operation.stage = Stage::kCoordinator;
    operation.requested_at = Instant();
    this->request_grant();
    return Outcome::kWaiting;
  }
  const bool is_delegate_silent = !this->search->NextRefill(name, now);
  const auto pausing = std::count_if(
      account.waiting.begin(), account.waiting.end(),
      [&](const WaitingOperation& other) {
        return &other != &operation && other.stage == Stage::kPausing;
      });
  if (!is_delegate_silent &&
      (step.kind != Kind::kWait || pausing >= kMaximumRefillWaits)) {
    return Outcome::kRefused;
  }
  operation.stage = Stage::kPausing;
  operation.search.refused_by.clear();
  operation.retry_at = is_delegate_silent ? now + kSearchPause : step.until;
  this->request_operations();
  return Outcome::kWaiting;
}

template <class Predicate>
void AccountGate::AdvanceWaiting(const std::string& name, Account& account,
                                 Instant now, Predicate is_due) {
  std::vector<WaitingOperation> admitted;
  std::vector<WaitingOperation> refused;
  for (auto operation = account.waiting.begin();
       operation != account.waiting.end();) {
    const Outcome outcome = is_due(*operation)
                                ? this->Advance(name, account, *operation, now)
                                : Outcome::kWaiting;
    if (outcome == Outcome::kWaiting) {
      ++operation;
      continue;
    }
    (outcome == Outcome::kAdmitted ? admitted : refused)
        .push_back(std::move(*operation));
    operation = account.waiting.erase(operation);
  }
  // Handlers may admit further operations of the account.
  for (const WaitingOperation& operation : admitted) {
    operation.handler(true);
  }
  for (const WaitingOperation& operation : refused) {
    this->Refuse(name, account, operation, "no delegate has an operation left",
                 now);
  }
}

std::map<std::string, std::map<std::string, int>> AccountGate::TakeRequests(
    Instant now) {
  std::map<std::string, std::map<std::string, int>> requests;
  for (auto& [name, account] : this->accounts) {
    for (WaitingOperation& operation : account.waiting) {
      if (operation.stage == Stage::kUnsent) {
        operation.stage = Stage::kAsked;
        operation.delegate_asked_at = now;
        ++requests[operation.delegate][name];
      }
    }
  }
  return requests;
}

void AccountGate::OnDelegateGrant(const std::string& name,
                                  const std::string& delegate,
                                  const limits::DelegateGrant& grant,
                                  Instant sent) {
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  const bool is_late = now >= sent + limits::DelegatePool::kOperationLifetime;
  int left = is_late ? 0 : grant.operations;
  const auto is_answered = [&](const WaitingOperation& operation) {
    return operation.stage == Stage::kAsked && operation.delegate == delegate &&
           operation.delegate_asked_at == sent;
  };
  std::vector<WaitingOperation> admitted;
  // First the operations for which it was granted, then any other.
  for (const bool is_any : {false, true}) {
    for (auto operation = account.waiting.begin();
         left > 0 && operation != account.waiting.end();) {
      if (!is_any && !is_answered(*operation)) {
        ++operation;
        continue;
      }
      admitted.push_back(std::move(*operation));
      operation = account.waiting.erase(operation);
      --left;
    }
  }
  if (!is_late && grant.retry_after.count() > 0) {
    this->search->OnRefused(name, delegate, grant.retry_after, now);
  }
  this->context.metrics.Count("operations_from_delegates", admitted.size());
  for (WaitingOperation& operation : account.waiting) {
    if (is_answered(operation)) {
      operation.search.refused_by.insert(delegate);
    }
  }
  for (const WaitingOperation& operation : admitted) {
    operation.handler(true);
  }
  this->AdvanceWaiting(name, account, now, is_answered);
}

void AccountGate::OnDelegatesChanged() {
  const Instant now = this->context.clock.Now();
  for (auto& [name, account] : this->accounts) {
    this->AdvanceWaiting(name, account, now, [&](WaitingOperation& operation) {
      operation.search = {operation.since, {}};
      return true;
    });
  }
}

bool AccountGate::IsAwaitingDelegates() const {
  return std::any_of(
      this->accounts.begin(), this->accounts.end(), [](const auto& entry) {
        const auto& waiting = entry.second.waiting;
        return std::any_of(waiting.begin(), waiting.end(),
                           [](const WaitingOperation& operation) {
                             return operation.stage != Stage::kCoordinator;
                           });
      });
}

bool AccountGate::IsRequestDue(const WaitingOperation& operation, Instant now) {
  return operation.stage == Stage::kCoordinator &&
         (operation.requested_at == Instant() ||
          now >= operation.requested_at + kRequestRepeatDelay);
}

void AccountGate::RequestIfDue(const Account& account, Instant now) {
  const bool is_due =
      std::any_of(account.waiting.begin(), account.waiting.end(),
                  [now](const WaitingOperation& operation) {
                    return IsRequestDue(operation, now);
                  });
  if (is_due) {
    this->request_grant();
  }
}

int AccountGate::TakeDueRequests(Account& account, Instant now) {
  int waiting_operations = 0;
  for (WaitingOperation& operation : account.waiting) {
    if (IsRequestDue(operation, now)) {
      operation.requested_at = now;
      ++waiting_operations;
    }
  }
  return waiting_operations;
}

void AccountGate::OnGrant(const std::string& name,
                          const limits::AccountGrant& grant, Instant sent) {
  const Instant now = this->context.clock.Now();
  Account& account = this->accounts[name];
  account.allowance.OnGrant(grant, sent, now);
  this->AdmitWaiting(account, now);
  // Operations that this report requested and that still wait were not granted.
  std::vector<WaitingOperation> refused;
  for (auto operation = account.waiting.begin();
       operation != account.waiting.end();) {
    if (operation->requested_at != sent) {
      ++operation;
    } else if (grant.is_more_pending) {
      operation->requested_at = Instant();
      ++operation;
    } else if (this->HasDelegates()) {
      account.exhausted_until = now + kExhaustedPause;
      operation->is_refused_by_coordinator = true;
      operation->requested_at = Instant();
      operation->stage = Stage::kPausing;
      operation->retry_at = now;
      ++operation;
    } else {
      account.exhausted_until = now + kExhaustedPause;
      refused.push_back(std::move(*operation));
      operation = account.waiting.erase(operation);
    }
  }
  for (const WaitingOperation& operation : refused) {
    this->Refuse(name, account, operation, "refused by the leader", now);
  }
  this->AdvanceWaiting(
      name, account, now, [&](const WaitingOperation& operation) {
        return operation.stage == Stage::kPausing && now >= operation.retry_at;
      });
  this->RequestIfDue(account, now);
}

void AccountGate::OnResponse(Instant sent) {
  this->has_contact = true;
  this->last_contact = std::max(this->last_contact, sent);
}

void AccountGate::AdmitWaiting(Account& account, Instant now) {
  while (!account.waiting.empty() && account.allowance.TryPass(now)) {
    const Handler handler = std::move(account.waiting.front().handler);
    account.waiting.pop_front();
    handler(true);
  }
}

void AccountGate::Refuse(const std::string& name, Account& account,
                         const WaitingOperation& operation,
                         std::string_view cause, Instant now) {
  const limits::AccountReport report = account.allowance.Report(0, now);
  this->context.request_log.Write(
      kOperationNotAdmitted, now,
      {{"request", operation.request},
       {"account", name},
       {"cause", cause},
       {"waited_ms", kernel::ToMilliseconds(now - operation.since)},
       {"share_rate", report.held.rate},
       {"share_burst", report.held.burst},
       {"demand", report.demand},
       {"tokens", account.allowance.Available(now)},
       {"vms", this->context.vm_count},
       {"answered_ms_ago", kernel::ToMilliseconds(now - this->last_contact)}});
  operation.handler(false);
}

void AccountGate::Tick(Instant now) {
  for (auto& [name, account] : this->accounts) {
    if (account.waiting.empty()) {
      continue;
    }
    this->AdmitWaiting(account, now);
    while (!account.waiting.empty() &&
           now >= account.waiting.front().since + this->MaximumWait(now)) {
      const WaitingOperation operation = std::move(account.waiting.front());
      account.waiting.pop_front();
      this->Refuse(name, account, operation, "waited too long", now);
    }
    if (this->HasDelegates()) {
      this->AdvanceWaiting(name, account, now,
                           [&](const WaitingOperation& operation) {
                             return this->IsAdvanceDue(operation, now);
                           });
    }
    this->RequestIfDue(account, now);
  }
}

bool AccountGate::IsAdvanceDue(const WaitingOperation& operation, Instant now) {
  switch (operation.stage) {
    case Stage::kAsked:
      if (now <
          operation.delegate_asked_at + limits::DelegateSearch::kSilence) {
        return false;
      }
      if (this->search->OnSilent(operation.delegate, now)) {
        this->context.metrics.Count("delegates_silent");
        kernel::LogEvent(kDelegateSilent, {{"delegate", operation.delegate}});
      }
      return true;
    case Stage::kPausing:
      return now >= operation.retry_at;
    case Stage::kCoordinator:
      // Falls back to the delegates when the coordinator does not answer.
      return operation.requested_at != Instant() &&
             now >= this->last_contact + kCoordinatorUnresponsive;
    case Stage::kUnsent:
      return false;
  }
  return false;
}

}  // namespace laburnumkeel::proxy
