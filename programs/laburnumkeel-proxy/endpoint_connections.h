#ifndef LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTIONS_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTIONS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "programs/laburnumkeel-proxy/endpoint_connection.h"
#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// The connections of this VM to one endpoint: open ones, and those that are
// being opened.
class EndpointConnections {
 public:
  using Pointer = std::shared_ptr<EndpointConnection>;

  // A free connection for the statement, preferably one that needs no setup;
  // null when there is none. A statement of the proxy itself may use a
  // connection of any account.
  Pointer FindFree(const StatementJob& job) const;
  // The free connection that has not been used for longest; null without one.
  Pointer FindOldestFree() const;

  // Open connections and those that are being opened.
  std::size_t Count() const { return this->open.size() + this->opening.size(); }
  std::size_t OpenCount() const { return this->open.size(); }
  int OpeningCount(const std::string& account) const;
  // True when a statement or transaction uses a connection.
  bool IsInUse() const;

  void StartOpening(const Pointer& connection, kernel::Instant now);
  // The connection is not being opened any more. False when it was not.
  bool FinishOpening(const Pointer& connection);
  void Add(const Pointer& connection) { this->open.push_back(connection); }
  void Remove(const Pointer& connection);

  // Closes connections that have not opened since `oldest`. Returns how many.
  int CloseHangingSince(kernel::Instant oldest);
  // Closes free connections that have not been used since `oldest`, and forgets
  // those that are closed.
  void CloseIdleSince(kernel::Instant oldest);
  // The free connections that have not been used since `oldest`.
  std::vector<Pointer> FreeSince(kernel::Instant oldest) const;
  void CloseAll();

 private:
  std::vector<Pointer> open;
  // With the time when opening started.
  std::map<Pointer, kernel::Instant> opening;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTIONS_H_
