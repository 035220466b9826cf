#ifndef LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "laburnumkeel/limits/account_allowance.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// What all VMs together may pass of an account, in the window in which rates
// are checked.
limits::ShareAmount AccountLimit(
    const platform_adapter::ProxySettings& settings,
    const model::ClientAccount& account);

// Passes operations of client accounts within their limits. An operation
// without a token waits for the coordinator's answer if one can come soon, and
// is refused at once otherwise.
//
// Load pattern: the first clients of an account on a VM, which has no share
// yet; an account far above its rate, whose excess must not wait.
class AccountGate {
 public:
  using Handler = std::function<void(bool is_admitted)>;

  // `request_grant` asks the coordinator without waiting for the next report.
  AccountGate(ProxyContext& context, std::function<void()> request_grant);

  // Calls `handler` at once, or when the coordinator has answered.
  void Admit(const std::string& account, Handler handler);

  // What to report at `now`, with the operations that have to be asked for.
  std::map<std::string, limits::AccountReport> Report(kernel::Instant now);
  // Only accounts with operations that have to be asked for.
  std::map<std::string, limits::AccountReport> ReportWaiting(
      kernel::Instant now);

  void OnGrant(const std::string& account, const limits::AccountGrant& grant,
               kernel::Instant sent);

  // The coordinator answered a report sent at `sent`.
  void OnAnswer(kernel::Instant sent);

  // Refuses operations that waited too long.
  void Tick(kernel::Instant now);

 private:
  // The coordinator is at most a round trip between regions away, and publishes
  // what it withholds for a successor ten times a second when it is asked for
  // more.
  static constexpr std::chrono::milliseconds kMaximumWait{150};
  // After a grant that was smaller than what was wanted, the account's excess
  // is refused for this long without asking again.
  static constexpr std::chrono::milliseconds kExhaustedPause{100};
  // Without an answer for this long the coordinator counts as away.
  static constexpr std::chrono::milliseconds kCoordinatorAway{1200};
  // A coordinator that has just gone, or that a started process does not know
  // yet, is back within a second as a rule.
  static constexpr std::chrono::milliseconds kWaitForCoordinator{1000};
  static constexpr std::chrono::milliseconds kCoordinatorGone{3500};

  // Without an answer an operation is asked for again. A question that is
  // asked twice is granted twice, and the second grant lapses.
  static constexpr std::chrono::milliseconds kAskAgain{100};

  struct Waiting {
    kernel::Instant since;
    // When it was last asked for; zero before, and when it may be asked for
    // again.
    kernel::Instant asked_at;
    Handler handler;
  };
  struct Account {
    limits::AccountAllowance allowance;
    std::deque<Waiting> waiting;
    kernel::Instant exhausted_until;
  };

  static bool HasToAsk(const Waiting& operation, kernel::Instant now);
  void RequestIfDue(const Account& account, kernel::Instant now);
  // Marks the operations that it counts as asked for.
  static int CountToAsk(Account& account, kernel::Instant now);
  void Serve(Account& account, kernel::Instant now);
  std::chrono::milliseconds MaximumWait(kernel::Instant now) const;

  ProxyContext& context;
  const std::function<void()> request_grant;
  std::map<std::string, Account> accounts;
  // The start of the process counts as an answer.
  kernel::Instant answered_at;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_ACCOUNT_GATE_H_
