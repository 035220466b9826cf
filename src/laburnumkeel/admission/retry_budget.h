#ifndef LABURNUMKEEL_ADMISSION_RETRY_BUDGET_H_
#define LABURNUMKEEL_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

namespace laburnumkeel::admission {

// Bounds the second tries of requests that may already have cost an endpoint
// work.
//
// Load pattern: an endpoint fails or hangs on many requests, or all of them do.
// Each VM that tries every request again multiplies the load on what is left.
// Tries are paid from tokens that successes earn, so that all VMs together, who
// do not coordinate for it, add at most kEarned of the successful load.
class RetryBudget {
 public:
  // Tokens that a success earns.
  static constexpr double kEarned = 0.1;
  // Also the initial number. Enough for the statements that one VM has in
  // flight at an endpoint that is lost.
  static constexpr double kMaximum = 10;

  bool operator==(const RetryBudget&) const = default;

  void OnSuccess() {
    this->tokens = std::min(this->tokens + kEarned, kMaximum);
  }

  // Takes a token and returns true, or returns false when there is none.
  bool TryTake() {
    if (this->tokens < 1) {
      return false;
    }
    --this->tokens;
    return true;
  }

  double Tokens() const { return this->tokens; }

 private:
  double tokens = kMaximum;
};

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_RETRY_BUDGET_H_
