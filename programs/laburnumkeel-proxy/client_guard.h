#ifndef LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_GUARD_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_GUARD_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/admission/client_limits.h"
#include "laburnumkeel/admission/client_load.h"
#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/memory_account.h"
#include "laburnumkeel/kernel/memory_holding.h"
#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/kernel/runtime_clock.h"
#include "laburnumkeel/transport/line_stream.h"

namespace laburnumkeel::proxy {

class ClientSession;

// Keeps the clients of this process within its memory and its connections:
// counts what they hold, makes clients wait, and closes those that hold too
// much, or stop half-way for too long. Runs on the event loop.
class ClientGuard {
 public:
  ClientGuard(boost::asio::io_context& loop, const kernel::RuntimeClock& clock,
              kernel::Metrics& metrics, const admission::ClientLimits& limits);

  void SetLimits(const admission::ClientLimits& new_limits);
  const admission::ClientLimits& Limits() const { return this->limits; }
  kernel::MemoryAccount& Memory() { return this->memory; }
  // Connections of clients, including those that only take the last answer.
  std::size_t Connections() const {
    return this->sessions.size() + this->closing.size();
  }

  void Add(ClientSession& session);
  void Remove(ClientSession& session);
  // The connection of an ended session stays open until its client has taken
  // the last answer.
  void Linger(const std::shared_ptr<transport::LineStream>& stream);

  // Grows a holding of `session`. Returns false when the account has no room,
  // even after closing another connection. For a statement that can be sent at
  // once the whole budget may be used, for what can wait a part of it.
  bool GrowForStatement(const ClientSession& session,
                        kernel::MemoryHolding& holding, std::size_t bytes);
  bool GrowForState(const ClientSession& session,
                    kernel::MemoryHolding& holding, std::size_t bytes);

  // The session waits for memory for a large message. Answered by
  // ClientSession::ContinueLargeMessage.
  void AwaitMemory(ClientSession& session);
  bool IsAnyWaiting() const { return !this->waiting.empty(); }

  // Called after bytes were added that had arrived already. Closes connections
  // if the account is above its budget, after the present handler.
  void CheckBudget();

  // Returns false when there is no connection for a new client, even after
  // closing another one.
  bool MakeRoomForConnection();

  void Tick(kernel::Instant now);

  // Counts a connection that was closed or a request that was refused, and logs
  // it once a second and cause.
  void Note(const std::string& cause);

 private:
  bool Grow(const ClientSession& session, kernel::MemoryHolding& holding,
            std::size_t bytes, std::size_t limit);
  // The sessions besides `except`, and what each of them holds and does.
  std::pair<std::vector<std::shared_ptr<ClientSession>>,
            std::vector<admission::ClientLoad>>
  Loads(const ClientSession* except) const;
  void Relieve();
  void ServeWaiting();
  void CloseOverdue(kernel::Instant now);
  void LogNotes();

  boost::asio::io_context& loop;
  const kernel::RuntimeClock& clock;
  kernel::Metrics& metrics;
  admission::ClientLimits limits;
  kernel::MemoryAccount memory;
  std::set<ClientSession*> sessions;
  // In order of arrival.
  std::deque<std::weak_ptr<ClientSession>> waiting;
  struct ClosingStream {
    std::shared_ptr<transport::LineStream> stream;
    kernel::MemoryHolding holding;
    kernel::Instant deadline;
  };
  std::vector<ClosingStream> closing;
  bool is_relief_posted = false;
  // No connection can be closed for others until then.
  kernel::Instant none_closable_until;
  kernel::Instant last_pass;
  // Connections and requests of each cause that are not logged yet.
  std::map<std::string, std::uint64_t> notes;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_GUARD_H_
