#include "programs/laburnumkeel-proxy/statement_queue.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "laburnumkeel/routing/endpoint_choice.h"

namespace laburnumkeel::proxy {

namespace {

// A free connection goes to a waiting statement of its own account unless one
// of another account arrived earlier by more than this. Well below the latency
// objectives of the routes.
constexpr std::chrono::milliseconds kOtherAccountDelay{120};

}  // namespace

int StatementQueue::Count(const std::string& account) const {
  return static_cast<int>(std::count_if(
      this->waiting.begin(), this->waiting.end(),
      [&](const JobPointer& job) { return job->account == account; }));
}

void StatementQueue::Remove(const JobPointer& job) {
  std::erase(this->waiting, job);
}

std::deque<JobPointer> StatementQueue::TakeAll() {
  std::deque<JobPointer> queued;
  queued.swap(this->waiting);
  std::stable_sort(queued.begin(), queued.end(),
                   [](const JobPointer& left, const JobPointer& right) {
                     return left->route.priority < right->route.priority;
                   });
  return queued;
}

JobPointer StatementQueue::TakeFor(const std::string& account) {
  std::vector<routing::WaitingStatement> statements;
  for (const JobPointer& job : this->waiting) {
    statements.push_back({job->is_internal ? account : job->account,
                          job->route.priority, job->arrived});
  }
  const std::optional<std::size_t> chosen =
      routing::ChooseForConnection(statements, account, kOtherAccountDelay);
  if (!chosen) {
    return nullptr;
  }
  const auto position =
      this->waiting.begin() + static_cast<std::ptrdiff_t>(*chosen);
  JobPointer job = *position;
  this->waiting.erase(position);
  return job;
}

}  // namespace laburnumkeel::proxy
