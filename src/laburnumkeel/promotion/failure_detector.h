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

// Decides when a watcher of a group has to start a promotion. The watcher polls
// every member each 500 ms, passes the statuses to `Observe` and calls `IsDue`
// after each round. Not thread-safe.
template <kernel::Clock ClockType>
class FailureDetector {
 public:
  // Time without a response from the primary until rank 0 promotes.
  static constexpr kernel::Duration kPrimaryTimeout = std::chrono::seconds(3);
  static constexpr kernel::Duration kRankDelay = std::chrono::milliseconds(500);
  // With 3 watchers in each of 7 data centres the last rank would wait 10 s,
  // and a failover could take 14.5 s. Ranks beyond the bound promote at the
  // same time; only one of them can seal the term on a majority.
  static constexpr kernel::Duration kMaximumRankDelay = std::chrono::seconds(4);
  // Time allowed for another watcher to promote in the term that it sealed.
  static constexpr kernel::Duration kPromotionTime = std::chrono::seconds(1);
  // A watcher that did not run for longer than this received no responses in
  // the meantime, so it restarts the time-out instead of blaming the primary.
  static constexpr kernel::Duration kSuspensionThreshold =
      std::chrono::milliseconds(1500);

  // `rank` is the watcher's place among all watchers of the group, from 0.
  // Each watcher needs its own seed, so that back-offs differ.
  FailureDetector(ClockType clock, unsigned rank, std::uint64_t seed)
      : clock(std::move(clock)),
        rank(rank),
        random(seed),
        last_primary_response(this->clock.Now()),
        last_check(this->clock.Now()) {}

  void SetRank(unsigned new_rank) { this->rank = new_rank; }

  // Processes the status of any member. A primary counts as alive only in the
  // highest observed term, because no write of a lower term is acknowledged.
  void Observe(const model::EndpointStatus& status) {
    const model::Term observed_term =
        std::max(status.sealed_term, status.log_end.term);
    this->ObserveTerm(observed_term);
    if (status.role == model::EndpointRole::kPrimary &&
        status.sealed_term == status.log_end.term &&
        observed_term == this->highest_term) {
      this->primary = status.endpoint;
      this->last_primary_response = this->clock.Now();
      this->not_before.reset();
    }
  }

  // Processes a term from another source, for example the primary table.
  void ObserveTerm(model::Term term) {
    if (term <= this->highest_term) {
      return;
    }
    const bool promotion_began = this->highest_term != 0;
    this->highest_term = term;
    if (promotion_began) {
      this->Postpone(kPromotionTime);
    }
  }

  // Delays the next attempt by a random 200 to 800 ms after this watcher's
  // promotion failed, so that two promoters that each sealed some of the
  // members do not collide again. `observed_term` is the highest term of the
  // attempt. The duration of the attempt does not count as a suspension of this
  // process.
  void OnFailedPromotion(model::Term observed_term) {
    this->ObserveTerm(observed_term);
    std::uniform_int_distribution<int> milliseconds(200, 800);
    this->Postpone(std::chrono::milliseconds(milliseconds(this->random)));
    this->last_check = this->clock.Now();
  }

  // Returns true when the watcher has to promote now, in the term after
  // `HighestTerm()`.
  bool IsDue() {
    const kernel::Instant now = this->clock.Now();
    if (now - this->last_check > kSuspensionThreshold) {
      this->last_primary_response = std::max(this->last_primary_response, now);
    }
    this->last_check = now;
    return now - this->last_primary_response >=
               kPrimaryTimeout +
                   std::min<kernel::Duration>(this->rank * kRankDelay,
                                              kMaximumRankDelay) &&
           (!this->not_before || now >= *this->not_before);
  }

  model::Term HighestTerm() const { return this->highest_term; }
  // The last primary that responded in the highest term known at that time; may
  // be empty.
  const std::string& Primary() const { return this->primary; }

 private:
  void Postpone(kernel::Duration period) {
    const kernel::Instant until = this->clock.Now() + period;
    this->not_before = std::max(this->not_before.value_or(until), until);
  }

  ClockType clock;
  unsigned rank;
  std::mt19937_64 random;
  kernel::Instant last_primary_response;
  kernel::Instant last_check;
  std::optional<kernel::Instant> not_before;
  model::Term highest_term = 0;
  std::string primary;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_FAILURE_DETECTOR_H_
