#ifndef LABURNUMKEEL_TESTS_LIMITS_ACCOUNT_RECORD_H_
#define LABURNUMKEEL_TESTS_LIMITS_ACCOUNT_RECORD_H_

#include <algorithm>
#include <cstdint>

#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// Statistics of an account's requests to all VMs, compared with a single bucket
// for the whole fleet.
class AccountRecord {
 public:
  explicit AccountRecord(const ShareAmount& limit)
      : limit(limit), ideal_tokens(limit.burst) {}

  // Records a request that arrives at `seconds` of real time. True if a single
  // bucket for the whole fleet would let it pass.
  bool Arrive(double seconds) {
    const double elapsed = std::max(0.0, seconds - this->arrived_at);
    this->arrived_at = std::max(this->arrived_at, seconds);
    this->ideal_tokens = std::min(
        this->limit.burst, this->ideal_tokens + elapsed * this->limit.rate);
    const bool is_within = this->ideal_tokens >= 1;
    this->ideal_tokens -= is_within ? 1 : 0;
    this->offered += 1;
    this->within += is_within ? 1 : 0;
    return is_within;
  }

  void Refuse(bool is_within) { this->wrongly_refused += is_within ? 1 : 0; }

  // Records a request that passed. Must be called in order of time.
  void Pass(double seconds, double waited_seconds) {
    this->passed += 1;
    this->waited_seconds += waited_seconds;
    // The level is the maximum over all window starts of the requests passed
    // since, minus the rate times the time since.
    const double elapsed = seconds - this->passed_at;
    this->passed_at = seconds;
    this->level = std::max(0.0, this->level - elapsed * this->limit.rate) + 1;
    this->excess = std::max(this->excess, this->level);
  }

  // Largest number of requests in any window that ends at a request, minus the
  // rate times the window's length. I7 requires at most the burst.
  double Excess() const { return this->excess; }

  std::int64_t offered = 0;
  std::int64_t passed = 0;
  // Requests that a single bucket for the whole fleet would have let pass.
  std::int64_t within = 0;
  std::int64_t wrongly_refused = 0;
  // Total over the requests that passed.
  double waited_seconds = 0;

 private:
  ShareAmount limit;
  double ideal_tokens;
  double arrived_at = 0;
  double passed_at = 0;
  double level = 0;
  double excess = 0;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_TESTS_LIMITS_ACCOUNT_RECORD_H_
