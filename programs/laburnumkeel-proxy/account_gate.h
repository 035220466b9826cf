#ifndef LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/limits/account_allowance.h"
#include "laburnumkeel/limits/delegate_pool.h"
#include "laburnumkeel/limits/delegate_search.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// Rate and burst that all VMs together may admit for an account, for the window
// over which rates are checked.
limits::ShareAmount AccountLimit(
    const platform_adapter::ProxySettings& settings,
    const model::ClientAccount& account);

// Admits operations of client accounts within their limits. An operation
// without a token waits for a delegate of the account, if the fleet has
// delegates, and then for a grant of the coordinator, if a response is expected
// soon. It is refused immediately when neither can have one in time.
//
// Load patterns: the first clients of an account on a VM that has no share yet;
// an account far above its rate, whose excess must not wait; an account at
// several times its usual rate while there is no coordinator.
class AccountGate {
 public:
  using Handler = std::function<void(bool is_admitted)>;

  // `request_grant` sends a request to the coordinator ahead of the next
  // regular report.
  AccountGate(ProxyContext& context, std::function<void()> request_grant);

  // Asks the delegates of an account before the coordinator. `request` sends
  // what TakeRequests returns.
  void UseDelegates(limits::DelegateSearch& new_search,
                    limits::DelegatePool& new_pool,
                    std::function<void()> request);

  // Operations to request, by delegate and account. Marks them as requested at
  // `now`.
  std::map<std::string, std::map<std::string, int>> TakeRequests(
      kernel::Instant now);

  // A delegate answered a request that was sent at `sent`.
  void OnDelegateGrant(const std::string& account, const std::string& delegate,
                       const limits::DelegateGrant& grant,
                       kernel::Instant sent);

  // Delegates have changed: operations that wait are requested again.
  void OnDelegatesChanged();

  // True while operations wait for delegates.
  bool IsAwaitingDelegates() const;

  // Calls `handler` immediately, or once the coordinator has responded or the
  // maximum wait is over. `request` identifies the operation in the log.
  void Admit(const std::string& account, const std::string& request,
             Handler handler);

  // Reports of all accounts in use, with the number of waiting operations for
  // which a request is due. Marks those operations as requested at `now`.
  std::map<std::string, limits::AccountReport> Report(kernel::Instant now);
  // As Report, but only accounts with operations for which a request is due.
  std::map<std::string, limits::AccountReport> ReportWaiting(
      kernel::Instant now);

  void OnGrant(const std::string& account, const limits::AccountGrant& grant,
               kernel::Instant sent);

  // The coordinator responded to a report that was sent at `sent`.
  void OnResponse(kernel::Instant sent);

  // Refuses operations that have waited too long, and repeats requests.
  void Tick(kernel::Instant now);

 private:
  // Covers a round trip between regions to the coordinator, and its next
  // publication of the operations that it withholds for a successor, which it
  // makes ten times a second while more are requested.
  static constexpr std::chrono::milliseconds kMaximumWait{150};
  // After a grant of fewer operations than requested, the account's excess is
  // refused for this long without another request.
  static constexpr std::chrono::milliseconds kExhaustedPause{100};
  // Without a response for this long, the coordinator is considered
  // unresponsive.
  static constexpr std::chrono::milliseconds kCoordinatorUnresponsive{1200};
  // Maximum wait while the coordinator is unresponsive. It has usually been
  // replaced within a second, and a process that has just started usually finds
  // it within that time.
  static constexpr std::chrono::milliseconds kMaximumWaitUnresponsive{1000};
  // Without a response for this long, operations without a token are refused
  // immediately.
  static constexpr std::chrono::milliseconds kCoordinatorUnavailable{3500};

  // An operation is requested again if there is no response after this time. If
  // both requests arrive, both are granted, and the second grant expires
  // unused.
  static constexpr std::chrono::milliseconds kRequestRepeatDelay{100};

  // Operations of an account that wait on this VM until a delegate has one
  // again. More would mostly be refused in the end, as other VMs wait too.
  static constexpr int kMaximumRefillWaits = 2;
  // All delegates are silent: they are asked again after this time.
  static constexpr std::chrono::milliseconds kSearchPause{50};

  enum class Stage {
    // Waits for a grant of the coordinator.
    kCoordinator,
    // Is to be requested from `delegate`.
    kUnsent,
    // Was requested from `delegate` at `delegate_asked_at`.
    kAsked,
    // Waits until `retry_at`.
    kPausing,
  };

  struct WaitingOperation {
    kernel::Instant since;
    // Time of the last request for it to the coordinator; zero before the first
    // request, and when it may be requested again at once.
    kernel::Instant requested_at;
    std::string request;
    Handler handler;
    Stage stage = Stage::kCoordinator;
    limits::DelegateSearch::Operation search{};
    std::string delegate{};
    kernel::Instant delegate_asked_at{};
    kernel::Instant retry_at{};
    // The coordinator had no operation for it.
    bool is_refused_by_coordinator = false;
  };
  struct Account {
    limits::AccountAllowance allowance;
    std::deque<WaitingOperation> waiting;
    kernel::Instant exhausted_until;
  };

  // What became of an operation that was moved on to its next source.
  enum class Outcome { kWaiting, kAdmitted, kRefused };

  bool HasDelegates() const {
    return this->search != nullptr && this->search->IsUsed();
  }
  Outcome Advance(const std::string& name, Account& account,
                  WaitingOperation& operation, kernel::Instant now);
  // Advances the operations that satisfy `is_due`, then calls the handlers of
  // those that need not wait any more.
  template <class Predicate>
  void AdvanceWaiting(const std::string& name, Account& account,
                      kernel::Instant now, Predicate is_due);
  bool IsAdvanceDue(const WaitingOperation& operation, kernel::Instant now);
  bool MayAskCoordinator(const Account& account,
                         const WaitingOperation& operation,
                         kernel::Instant now) const;
  static bool IsRequestDue(const WaitingOperation& operation,
                           kernel::Instant now);
  void RequestIfDue(const Account& account, kernel::Instant now);
  // Returns the number of waiting operations for which a request is due, and
  // marks them as requested.
  static int TakeDueRequests(Account& account, kernel::Instant now);
  void AdmitWaiting(Account& account, kernel::Instant now);
  // Refuses an operation that has waited since `operation.since`.
  void Refuse(const std::string& name, Account& account,
              const WaitingOperation& operation, std::string_view cause,
              kernel::Instant now);
  std::chrono::milliseconds MaximumWait(kernel::Instant now) const;

  ProxyContext& context;
  const std::function<void()> request_grant;
  limits::DelegateSearch* search = nullptr;
  limits::DelegatePool* pool = nullptr;
  std::function<void()> request_operations;
  std::map<std::string, Account> accounts;
  // When the latest report with a response was sent; initially the start of the
  // process.
  kernel::Instant last_contact;
  bool has_contact = false;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_
