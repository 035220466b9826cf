#ifndef LABURNUMKEEL_ADMISSION_ADMISSION_ORDER_H_
#define LABURNUMKEEL_ADMISSION_ADMISSION_ORDER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "laburnumkeel/admission/account_turns.h"
#include "laburnumkeel/admission/waiting_request.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::admission {

// The order in which waiting requests are given room.
//
// Load pattern: more requests than there is room for, of several priorities and
// accounts. In order of arrival all of them become late together, and the least
// urgent kind, which is the most frequent, takes most of the room. The order
// is:
// 1. statements of open transactions, since they hold connections;
// 2. the more urgent priority;
// 3. requests that can still meet their objective, then those that are late;
// 4. the account whose turn it is;
// 5. the earliest objective, then the earliest arrival.
// After kUrgentRun requests of the most urgent priority in succession, the less
// urgent request that has waited for longest is served, so that none waits
// forever.
class AdmissionOrder {
 public:
  // With this number, less urgent requests are left a ninth of scarce room.
  static constexpr int kUrgentRun = 8;

  // Indices of `waiting` in the order in which they are given room. A request
  // needs `expected` from then on for its response.
  std::vector<std::size_t> Rank(const std::vector<WaitingRequest>& waiting,
                                kernel::Instant now,
                                kernel::Duration expected) const;

  // Records that `served` was given room while `waiting` goes on to wait.
  void OnServed(const WaitingRequest& served,
                const std::vector<WaitingRequest>& waiting);

 private:
  // By priority.
  std::map<int, AccountTurns> turns;
  // Requests of the most urgent priority served in succession while less urgent
  // ones were waiting.
  int urgent_run = 0;
};

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_ADMISSION_ORDER_H_
