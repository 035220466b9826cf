#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_TABLE_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_TABLE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/memory_holding.h"
#include "laburnumkeel/transport/http_cause_log.h"
#include "laburnumkeel/transport/http_connection_policy.h"

namespace laburnumkeel::transport {

// The connections of an HTTP server, by their sockets, with their phases and
// the memory that they hold. A connection that is closed here is shut down; the
// socket belongs to the caller, who removes it before it is closed.
// Thread-safe.
class HttpConnectionTable {
 public:
  HttpConnectionTable(kernel::MemoryAccount& account, HttpCauseLog& causes,
                      const HttpConnectionLimits& limits)
      : account(account), causes(causes), limits(limits) {}

  // Memory of an idle connection: its thread, and the buffer of libmicrohttpd.
  static constexpr std::size_t kConnectionBytes = std::size_t{64} * 1024;

  void Add(int socket);
  void Remove(int socket);

  // A request line was read. Takes `room_bytes` for the body and waits for it;
  // without room the request is refused and the connection closed.
  void BeginRequest(int socket, std::size_t room_bytes);

  // The request was read completely. Returns false when it was refused.
  bool BeginHandling(int socket, std::size_t request_bytes);

  void BeginSending(int socket, std::size_t held_bytes);

  // The answer was sent, or the connection has failed.
  void EndRequest(int socket);

  // Closes the connections that exceed a limit.
  void CheckLimits();

  // Closes a connection for a new one, unless one is closing already. Returns
  // false when no connection may be closed.
  bool MakeRoom();

  std::size_t Size() const;

  // Waits until there are fewer than `count` connections.
  bool AwaitFewerThan(std::size_t count, std::chrono::milliseconds timeout);

  // Waits until no request is received, handled or answered.
  bool AwaitIdle(std::chrono::milliseconds timeout);

 private:
  struct Entry {
    explicit Entry(kernel::MemoryAccount& account) : holding(account) {}

    HttpConnectionState state;
    // Bytes that the server had read when the phase began.
    std::uint64_t read_before = 0;
    kernel::MemoryHolding holding;
  };

  // Bytes that the server has read from the socket since it was opened.
  static std::uint64_t ReadBytes(int socket);

  // These need the lock.
  Entry* Find(int socket);
  void SetPhase(Entry& entry, HttpConnectionPhase phase);
  void Hold(Entry& entry, std::size_t bytes);
  void NoteArrivals(int socket, Entry& entry);
  std::vector<HttpConnectionState> States() const;
  void Close(int socket, Entry& entry, HttpCause cause);
  void CloseNumber(std::uint64_t number, HttpCause cause);
  bool IsIdle() const;

  kernel::MemoryAccount& account;
  HttpCauseLog& causes;
  const HttpConnectionLimits limits;
  const kernel::BootClock clock{};
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<int, std::unique_ptr<Entry>> entries;
  std::uint64_t last_number = 0;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_TABLE_H_
