#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_ACCESS_GATE_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_ACCESS_GATE_H_

#include <algorithm>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "laburnumkeel/configuration/freshness_decision.h"
#include "laburnumkeel/configuration/key_index.h"
#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"
#include "programs/laburnumkeel-entry/caller_error.h"

namespace laburnumkeel::entry {

// Freshness of the configuration as reported by the control program. Ages are
// relative to the time at which the request for the report was sent.
struct FreshnessReport {
  kernel::Instant sent;
  // Age of the freshness proof; empty if the control program has none.
  std::optional<kernel::Duration> proof_age;
  bool may_serve = false;
  kernel::Duration isolated_time = kernel::Duration::max();

  bool operator==(const FreshnessReport&) const = default;
};

// A caller whose key is valid.
struct AuthorizedCaller {
  std::string account;
  // The service that the account uses.
  std::string service;

  bool operator==(const AuthorizedCaller&) const = default;
};

// Decides whether requests with a key are authorized. Thread-safe.
template <kernel::Clock ClockType>
class AccessGate {
 public:
  // Validity of a report from the time its request was sent. Reports arrive
  // every 100 ms; with the 4 s of `kFreshnessLimit`, a revoked key is refused
  // within 5 s.
  static constexpr kernel::Duration kReportLifetime =
      std::chrono::milliseconds(500);

  explicit AccessGate(ClockType clock) : clock(std::move(clock)) {}

  void SetConfiguration(
      std::shared_ptr<const model::Configuration> configuration) {
    auto new_index = std::make_shared<const configuration::KeyIndex>(
        std::move(configuration));
    const std::lock_guard lock(this->mutex);
    this->index = std::move(new_index);
  }

  void SetReport(const FreshnessReport& latest) {
    const std::lock_guard lock(this->mutex);
    this->report = latest;
  }

  // Returns the caller that the key belongs to, if the configuration is fresh
  // enough. All errors have the outcome `not_run`.
  kernel::Result<AuthorizedCaller, CallerError> Authorize(
      const std::string& key) const {
    // The look-up computes an HMAC, so it runs without the lock, which all
    // requests share.
    const auto keys = this->KeyIndexSnapshot();
    const model::ClientAccount* account =
        keys == nullptr ? nullptr : keys->FindAccount(key);
    if (account == nullptr) {
      return CallerError{401, "unknown_key", "the key is missing or not valid",
                         model::Outcome::kNotRun};
    }
    const std::lock_guard lock(this->mutex);
    if (!this->IsFresh(account->service)) {
      return CallerError{
          503, "key_state_unknown",
          "this VM cannot tell whether the key is still valid; use another one",
          model::Outcome::kNotRun};
    }
    return AuthorizedCaller{account->name, account->service};
  }

  // As above; also requires that the account uses the service. An unknown
  // service gives the same error, so that callers cannot discover the services
  // of others.
  kernel::Result<AuthorizedCaller, CallerError> Authorize(
      const std::string& key, const std::string& service) const {
    auto caller = this->Authorize(key);
    if (caller.has_value() && caller.value().service != service) {
      return CallerError{403, "service_not_allowed",
                         "the client account has no access to this service",
                         model::Outcome::kNotRun};
    }
    return caller;
  }

  // True while the key belongs to the account; for requests that have waited
  // and for open transactions.
  bool IsStillAuthorized(const std::string& key, const std::string& service,
                         const std::string& account) const {
    const auto caller = this->Authorize(key, service);
    return caller.has_value() && caller.value().account == account;
  }

  bool HasConfiguration() const {
    const std::lock_guard lock(this->mutex);
    return this->index != nullptr;
  }

 private:
  std::shared_ptr<const configuration::KeyIndex> KeyIndexSnapshot() const {
    const std::lock_guard lock(this->mutex);
    return this->index;
  }

  bool IsFresh(const std::string& service) const {
    if (!this->report.has_value()) {
      return false;
    }
    const kernel::Duration age = this->clock.Now() - this->report->sent;
    if (this->report->proof_age.has_value() &&
        *this->report->proof_age + age <=
            configuration::kFreshnessLimit + kReportLifetime) {
      return true;
    }
    if (this->report->may_serve && age <= kReportLifetime) {
      return true;
    }
    return this->IsolatedTime(age) <= this->IsolatedLimit(service);
  }

  kernel::Duration IsolatedTime(kernel::Duration report_age) const {
    // Half the range, so that adding the age of the report cannot overflow.
    constexpr kernel::Duration kMaximumIsolation = kernel::Duration::max() / 2;
    return std::min(this->report->isolated_time, kMaximumIsolation) +
           report_age;
  }

  kernel::Duration IsolatedLimit(const std::string& service) const {
    for (const model::Service& candidate : this->index->Source()->services) {
      if (candidate.name == service) {
        return std::chrono::seconds(candidate.isolated_serving_seconds);
      }
    }
    return kernel::Duration(0);
  }

  const ClockType clock;
  mutable std::mutex mutex;
  std::shared_ptr<const configuration::KeyIndex> index;
  std::optional<FreshnessReport> report;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_ACCESS_GATE_H_
