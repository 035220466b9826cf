#include "laburnumkeel/admission/admission_order.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <tuple>
#include <utility>

namespace laburnumkeel::admission {

namespace {

std::vector<std::size_t> Sorted(std::size_t size, const auto& key) {
  std::vector<std::size_t> order(size);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t left, std::size_t right) {
                     return key(left) < key(right);
                   });
  return order;
}

}  // namespace

std::vector<std::size_t> AdmissionOrder::Rank(
    const std::vector<WaitingRequest>& waiting, kernel::Instant now,
    kernel::Duration expected) const {
  const auto group_of = [&](const WaitingRequest& request) {
    return std::make_tuple(!request.continues_transaction, request.priority,
                           IsLate(request, now, expected));
  };
  // The turn of each request, counted within its account and group.
  std::vector<std::uint64_t> turn_of(waiting.size());
  std::map<std::pair<std::tuple<bool, int, bool>, std::string>, std::uint64_t>
      ahead;
  for (const std::size_t index : Sorted(waiting.size(), [&](std::size_t index) {
         return std::make_pair(waiting[index].objective,
                               waiting[index].arrived);
       })) {
    const WaitingRequest& request = waiting[index];
    const auto turns_of_priority = this->turns.find(request.priority);
    const std::uint64_t first =
        turns_of_priority == this->turns.end()
            ? 0
            : turns_of_priority->second.Next(request.account);
    turn_of[index] = first + ahead[{group_of(request), request.account}]++;
  }
  std::vector<std::size_t> order =
      Sorted(waiting.size(), [&](std::size_t index) {
        return std::make_tuple(group_of(waiting[index]), turn_of[index],
                               waiting[index].objective,
                               waiting[index].arrived);
      });
  const auto first_new = std::find_if(
      order.begin(), order.end(),
      [&](std::size_t index) { return !waiting[index].continues_transaction; });
  if (this->urgent_run < kUrgentRun || first_new == order.end()) {
    return order;
  }
  const int most_urgent = waiting[*first_new].priority;
  const auto rank_of_arrival = [&](std::size_t index) {
    return std::make_tuple(waiting[index].priority == most_urgent,
                           waiting[index].arrived);
  };
  const auto longest = std::min_element(
      first_new, order.end(), [&](std::size_t left, std::size_t right) {
        return rank_of_arrival(left) < rank_of_arrival(right);
      });
  if (waiting[*longest].priority != most_urgent) {
    std::rotate(first_new, longest, longest + 1);
  }
  return order;
}

void AdmissionOrder::OnServed(const WaitingRequest& served,
                              const std::vector<WaitingRequest>& waiting) {
  this->turns[served.priority].OnServed(served.account);
  const auto is_waiting = [&](const auto& condition) {
    return std::any_of(waiting.begin(), waiting.end(), condition);
  };
  if (is_waiting([&](const WaitingRequest& other) {
        return other.priority < served.priority;
      })) {
    this->urgent_run = 0;
  } else if (is_waiting([&](const WaitingRequest& other) {
               return other.priority > served.priority;
             })) {
    ++this->urgent_run;
  }
}

}  // namespace laburnumkeel::admission
