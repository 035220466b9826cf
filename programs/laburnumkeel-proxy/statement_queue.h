#ifndef LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_QUEUE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_QUEUE_H_

#include <deque>
#include <string>

#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// The statements that wait for a connection to one endpoint. The order is
// decided in laburnumkeel::routing.
class StatementQueue {
 public:
  bool IsEmpty() const { return this->waiting.empty(); }
  // A copy, as handlers change the queue.
  std::deque<JobPointer> All() const { return this->waiting; }
  int Count(const std::string& account) const;

  void Push(const JobPointer& job) { this->waiting.push_back(job); }
  // Statements of the proxy itself run first.
  void PushFront(const JobPointer& job) { this->waiting.push_front(job); }
  void Remove(const JobPointer& job);

  // Takes all statements, the one to run first in front.
  std::deque<JobPointer> TakeAll();
  // Takes the statement that a free connection of `account` runs next; null
  // when there is none, or when it is another account's turn.
  JobPointer TakeFor(const std::string& account);

 private:
  std::deque<JobPointer> waiting;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_QUEUE_H_
