#ifndef LABURNUMKEEL_PROMOTION_FAILURE_DETECTOR_H_
#define LABURNUMKEEL_PROMOTION_FAILURE_DETECTOR_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/endpoint_status.h"

namespace laburnumkeel::promotion {

// Decides when a watcher of a group has to promote. The watcher polls every
// member each 500 ms, passes the statuses to `Observe` and asks `IsDue` after
// each round. Not thread-safe.
template <kernel::Clock ClockType>
class FailureDetector {
 public:
  static constexpr kernel::Duration kSilence = std::chrono::seconds(3);
  static constexpr kernel::Duration kRankDelay = std::chrono::milliseconds(500);
  // With 3 watchers in each of 7 data centres the last rank would wait 10 s,
  // and a failover could take 14.5 s. Ranks beyond the bound promote together;
  // the seal lets one of them win.
  static constexpr kernel::Duration kMaximumRankDelay = std::chrono::seconds(4);
  // Time for another watcher that sealed a term to promote in it.
  static constexpr kernel::Duration kPromotionTime = std::chrono::seconds(1);
  // A watcher that did not run for longer than this heard no answers: the
  // silence is its own and is measured anew.
  static constexpr kernel::Duration kOwnPause = std::chrono::milliseconds(1500);

  // `rank` is the watcher's place among all watchers of the group, from 0.
  // Watchers need different seeds, so that they draw different back-offs.
  FailureDetector(ClockType clock, unsigned rank, std::uint64_t seed)
      : clock(std::move(clock)),
        rank(rank),
        random(seed),
        last_primary_answer(this->clock.Now()),
        last_check(this->clock.Now()) {}

  void SetRank(unsigned new_rank) { this->rank = new_rank; }

  // Takes the status of any member. A primary counts as alive only in the
  // highest term seen, because no write of a lower term is acknowledged.
  void Observe(const model::EndpointStatus& status) {
    const model::Term seen = std::max(status.sealed_term, status.log_end.term);
    this->ObserveTerm(seen);
    if (status.role == model::EndpointRole::kPrimary &&
        status.sealed_term == status.log_end.term &&
        seen == this->highest_term) {
      this->primary = status.endpoint;
      this->last_primary_answer = this->clock.Now();
      this->not_before.reset();
    }
  }

  // Takes a term seen elsewhere, for example in the primary table.
  void ObserveTerm(model::Term term) {
    if (term <= this->highest_term) {
      return;
    }
    const bool promotion_began = this->highest_term != 0;
    this->highest_term = term;
    if (promotion_began) {
      this->Hold(kPromotionTime);
    }
  }

  // After an own promotion failed: waits a random 200 to 800 ms, so that two
  // promoters that split the members do not collide again. `seen` is the
  // highest term of the attempt. The time of the attempt is no own pause.
  void OnFailedPromotion(model::Term seen) {
    this->ObserveTerm(seen);
    std::uniform_int_distribution<int> milliseconds(200, 800);
    this->Hold(std::chrono::milliseconds(milliseconds(this->random)));
    this->last_check = this->clock.Now();
  }

  // True when the watcher has to promote now, in the term after
  // `HighestTerm()`.
  bool IsDue() {
    const kernel::Instant now = this->clock.Now();
    if (now - this->last_check > kOwnPause) {
      this->last_primary_answer = std::max(this->last_primary_answer, now);
    }
    this->last_check = now;
    return now - this->last_primary_answer >=
               kSilence + std::min<kernel::Duration>(this->rank * kRankDelay,
                                                     kMaximumRankDelay) &&
           (!this->not_before || now >= *this->not_before);
  }

  model::Term HighestTerm() const { return this->highest_term; }
  // The last primary that answered in the highest term of its time; may be
  // empty.
  const std::string& Primary() const { return this->primary; }

 private:
  void Hold(kernel::Duration period) {
    const kernel::Instant until = this->clock.Now() + period;
    this->not_before = std::max(this->not_before.value_or(until), until);
  }

  ClockType clock;
  unsigned rank;
  std::mt19937_64 random;
  kernel::Instant last_primary_answer;
  kernel::Instant last_check;
  std::optional<kernel::Instant> not_before;
  model::Term highest_term = 0;
  std::string primary;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_FAILURE_DETECTOR_H_
