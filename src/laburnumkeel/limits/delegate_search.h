#ifndef LABURNUMKEEL_LIMITS_DELEGATE_SEARCH_H_
#define LABURNUMKEEL_LIMITS_DELEGATE_SEARCH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/membership/delegate_ring.h"

namespace laburnumkeel::limits {

// Chooses which of an account's delegates to ask for an operation that this VM
// has no token for.
//
// Load patterns: an account within its limit sends more to one data centre than
// its nearest delegate holds; a delegate is lost, frozen or cut off; an account
// is above its limit, so that no delegate has an operation left.
class DelegateSearch {
 public:
  // A delegate that has not answered for this long is passed over. Covers a
  // round trip between regions, and the pause of a VM that has used up its part
  // of a processor.
  static constexpr std::chrono::milliseconds kSilence{100};
  // A silent delegate is asked again after this time.
  static constexpr std::chrono::milliseconds kSilentPause{1000};
  // An operation waits for this long in all: a part of what clients allow for
  // an answer.
  static constexpr std::chrono::milliseconds kMaximumWait{300};

  // An operation that waits.
  struct Operation {
    kernel::Instant since;
    // Delegates that had none since the operation last waited for more.
    std::set<std::string> refused_by;

    bool operator==(const Operation&) const = default;
  };

  struct Step {
    enum class Kind {
      // Ask `vm`.
      kAsk,
      // All delegates had none, or did not answer; another source may have one.
      kExhausted,
      // One of them has an operation at `until`.
      kWait,
    };
    Kind kind = Kind::kExhausted;
    std::string vm;
    kernel::Instant until;

    bool operator==(const Step&) const = default;
  };

  // Follows `new_ring`. `regions` holds the region of each data centre.
  void Follow(const membership::DelegateRing& new_ring, const std::string& vm,
              const std::string& data_centre,
              const std::map<std::string, std::string>& regions);

  // False while there are no delegates.
  bool IsUsed() const {
    return this->ring.is_settled && !this->ring.members.empty();
  }

  // The address at which a delegate accepts requests; empty when it has left.
  std::string AddressOf(const std::string& vm) const;

  // What to do next for an operation of an account.
  Step Next(const std::string& account, const Operation& operation,
            kernel::Instant now);

  // When one of the account's delegates is expected to have an operation, if
  // one answers.
  std::optional<kernel::Instant> NextRefill(const std::string& account,
                                            kernel::Instant now);

  // The delegate answered that it has no operation of the account for
  // `retry_after`.
  void OnRefused(const std::string& account, const std::string& vm,
                 std::chrono::milliseconds retry_after, kernel::Instant now);
  void OnAnswered(const std::string& vm) { this->silent_until.erase(vm); }
  // Returns true when the delegate answered before.
  bool OnSilent(const std::string& vm, kernel::Instant now);

 private:
  // The account's delegates, nearest first.
  const std::vector<std::string>& Order(const std::string& account);
  int Distance(const std::string& vm) const;
  bool IsSilent(const std::string& vm, kernel::Instant now) const;
  kernel::Instant EmptyUntil(const std::string& account,
                             const std::string& vm) const;

  membership::DelegateRing ring;
  std::string own_vm;
  std::string own_data_centre;
  std::map<std::string, std::string> regions;
  std::map<std::string, std::vector<std::string>> orders;
  std::map<std::string, kernel::Instant> silent_until;
  // By account and delegate.
  std::map<std::pair<std::string, std::string>, kernel::Instant> empty_until;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_DELEGATE_SEARCH_H_
