#include "laburnumkeel/transport/http_connection_table.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace laburnumkeel::transport {

namespace {

constexpr std::chrono::milliseconds kRoomTimeout{1000};
constexpr std::uint64_t kRetrySpreadSeconds = 5;
constexpr int kStalledAtOnce = 16;

// A complete answer that closes the connection. Retry-After is spread over
// connections, so that refused clients do not return together.
std::string RefusalText(const std::string& status, const std::string& code,
                        const std::string& message, std::uint64_t number) {
  const std::string body = R"({"error":{"code":")" + code + R"(","message":")" +
                           message + R"(","outcome":"not_run"}})";
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nRetry-After: " +
         std::to_string(1 + number % kRetrySpreadSeconds) +
         "\r\nConnection: close\r\n\r\n" + body;
}

// The answer to an unfinished request; empty when an answer is being sent, as
// a second one would be taken for a part of it.
std::string AnswerTo(HttpCause cause, std::uint64_t number) {
  switch (cause) {
    case HttpCause::kReceiveTimeout:
      return RefusalText("408 Request Timeout", "request_timeout",
                         "the request did not arrive in time", number);
    case HttpCause::kRequestTooLarge:
      return RefusalText("413 Content Too Large", "body_too_large",
                         "the body exceeds the limit", number);
    case HttpCause::kNoMemory:
    case HttpCause::kStalled:
      return RefusalText("503 Service Unavailable", "overloaded",
                         "no memory for the request; try again later", number);
    case HttpCause::kSendTimeout:
    case HttpCause::kDisplaced:
    case HttpCause::kAcceptPaused:
      break;
  }
  return "";
}

HttpCause CauseOf(HttpConnectionFault fault) {
  switch (fault) {
    case HttpConnectionFault::kReceiveTimeout:
      return HttpCause::kReceiveTimeout;
    case HttpConnectionFault::kSendTimeout:
      return HttpCause::kSendTimeout;
    case HttpConnectionFault::kRequestTooLarge:
      return HttpCause::kRequestTooLarge;
  }
  return HttpCause::kReceiveTimeout;
}

}  // namespace

void HttpConnectionTable::Add(int socket) {
  const std::lock_guard lock(this->mutex);
  auto entry = std::make_unique<Entry>(this->account);
  entry->state.number = ++this->last_number;
  entry->holding.Resize(kConnectionBytes);
  this->SetPhase(*entry, HttpConnectionPhase::kIdle);
  this->entries[socket] = std::move(entry);
}

void HttpConnectionTable::Remove(int socket) {
  const std::lock_guard lock(this->mutex);
  this->entries.erase(socket);
  this->changed.notify_all();
}

void HttpConnectionTable::BeginRequest(int socket, std::size_t room_bytes) {
  std::unique_lock lock(this->mutex);
  Entry* entry = this->Find(socket);
  if (entry == nullptr || entry->state.phase == HttpConnectionPhase::kClosing) {
    return;
  }
  entry->read_before = ReadBytes(socket);
  this->SetPhase(*entry, HttpConnectionPhase::kReceiving);
  // The connection cannot be removed during the wait: its thread is this one.
  const bool has_room = this->changed.wait_for(lock, kRoomTimeout, [&] {
    return entry->state.phase == HttpConnectionPhase::kClosing ||
           entry->holding.TryResize(kConnectionBytes + room_bytes);
  });
  if (!has_room) {
    this->Close(socket, *entry, HttpCause::kNoMemory);
    return;
  }
  entry->state.held_bytes = entry->holding.Bytes() - kConnectionBytes;
}

bool HttpConnectionTable::BeginHandling(int socket, std::size_t request_bytes) {
  const std::lock_guard lock(this->mutex);
  Entry* entry = this->Find(socket);
  if (entry == nullptr) {
    return true;
  }
  if (entry->state.phase == HttpConnectionPhase::kClosing) {
    return false;
  }
  this->Hold(*entry, request_bytes);
  this->SetPhase(*entry, HttpConnectionPhase::kHandling);
  return true;
}

void HttpConnectionTable::BeginSending(int socket, std::size_t held_bytes) {
  const std::lock_guard lock(this->mutex);
  Entry* entry = this->Find(socket);
  if (entry != nullptr && entry->state.phase != HttpConnectionPhase::kClosing) {
    this->Hold(*entry, held_bytes);
    this->SetPhase(*entry, HttpConnectionPhase::kSending);
  }
}

void HttpConnectionTable::EndRequest(int socket) {
  const std::lock_guard lock(this->mutex);
  Entry* entry = this->Find(socket);
  if (entry == nullptr) {
    return;
  }
  this->Hold(*entry, 0);
  if (entry->state.phase != HttpConnectionPhase::kClosing) {
    ++entry->state.answered;
    entry->read_before = ReadBytes(socket);
    this->SetPhase(*entry, HttpConnectionPhase::kIdle);
  }
}

void HttpConnectionTable::CheckLimits() {
  const std::lock_guard lock(this->mutex);
  const kernel::Instant now = this->clock.Now();
  for (const auto& [socket, entry] : this->entries) {
    this->NoteArrivals(socket, *entry);
    if (const auto fault = FindFault(entry->state, this->limits, now)) {
      this->Close(socket, *entry, CauseOf(*fault));
    }
  }
  // A request that waits for room holds nothing yet.
  const bool is_waited_for = std::any_of(
      this->entries.begin(), this->entries.end(), [](const auto& item) {
        return item.second->state.phase == HttpConnectionPhase::kReceiving &&
               item.second->state.held_bytes == 0;
      });
  if (!is_waited_for ||
      this->account.Used() <= this->account.Budget() / 10 * 9) {
    return;
  }
  // Their memory is released when their threads end.
  for (int closed = 0; closed < kStalledAtOnce; ++closed) {
    const auto number = ChooseForMemory(this->States(), now);
    if (!number.has_value()) {
      return;
    }
    this->CloseNumber(*number, HttpCause::kStalled);
  }
}

bool HttpConnectionTable::MakeRoom() {
  const std::lock_guard lock(this->mutex);
  const std::vector<HttpConnectionState> states = this->States();
  if (std::any_of(states.begin(), states.end(), [](const auto& state) {
        return state.phase == HttpConnectionPhase::kClosing;
      })) {
    return true;
  }
  const auto number = ChooseForConnection(states, this->clock.Now());
  if (!number.has_value()) {
    return false;
  }
  this->CloseNumber(*number, HttpCause::kDisplaced);
  return true;
}

std::size_t HttpConnectionTable::Size() const {
  const std::lock_guard lock(this->mutex);
  return this->entries.size();
}

bool HttpConnectionTable::AwaitFewerThan(std::size_t count,
                                         std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, timeout,
                                [&] { return this->entries.size() < count; });
}

bool HttpConnectionTable::AwaitIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, timeout,
                                [this] { return this->IsIdle(); });
}

std::uint64_t HttpConnectionTable::ReadBytes(int socket) {
  tcp_info information{};
  socklen_t length = sizeof information;
  int waiting = 0;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &information, &length) != 0 ||
      ioctl(socket, SIOCINQ, &waiting) != 0) {
    return 0;
  }
  const std::uint64_t received = information.tcpi_bytes_received;
  return received - std::min(received, static_cast<std::uint64_t>(waiting));
}

HttpConnectionTable::Entry* HttpConnectionTable::Find(int socket) {
  const auto found = this->entries.find(socket);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void HttpConnectionTable::SetPhase(Entry& entry, HttpConnectionPhase phase) {
  entry.state.phase = phase;
  entry.state.phase_since = this->clock.Now();
  entry.state.received_bytes = 0;
  this->changed.notify_all();
}

void HttpConnectionTable::Hold(Entry& entry, std::size_t bytes) {
  entry.holding.Resize(kConnectionBytes + bytes);
  entry.state.held_bytes = bytes;
  this->changed.notify_all();
}

void HttpConnectionTable::NoteArrivals(int socket, Entry& entry) {
  const bool is_idle = entry.state.phase == HttpConnectionPhase::kIdle;
  if (!is_idle && entry.state.phase != HttpConnectionPhase::kReceiving) {
    return;
  }
  const std::uint64_t read = ReadBytes(socket);
  const std::uint64_t arrived = read - std::min(read, entry.read_before);
  if (is_idle && arrived > 0) {
    // The request line is not complete.
    this->SetPhase(entry, HttpConnectionPhase::kReceiving);
  }
  entry.state.received_bytes = static_cast<std::size_t>(arrived);
}

std::vector<HttpConnectionState> HttpConnectionTable::States() const {
  std::vector<HttpConnectionState> states;
  states.reserve(this->entries.size());
  for (const auto& [socket, entry] : this->entries) {
    states.push_back(entry->state);
  }
  return states;
}

void HttpConnectionTable::Close(int socket, Entry& entry, HttpCause cause) {
  this->causes.Count(cause);
  if (entry.state.phase == HttpConnectionPhase::kReceiving) {
    const std::string answer = AnswerTo(cause, entry.state.number);
    // A client that does not take it sees the connection close.
    (void)send(socket, answer.data(), answer.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  shutdown(socket, SHUT_RDWR);
  this->SetPhase(entry, HttpConnectionPhase::kClosing);
}

void HttpConnectionTable::CloseNumber(std::uint64_t number, HttpCause cause) {
  for (const auto& [socket, entry] : this->entries) {
    if (entry->state.number == number) {
      this->Close(socket, *entry, cause);
      return;
    }
  }
}

bool HttpConnectionTable::IsIdle() const {
  return std::all_of(
      this->entries.begin(), this->entries.end(), [](const auto& item) {
        const HttpConnectionPhase phase = item.second->state.phase;
        return phase == HttpConnectionPhase::kIdle ||
               phase == HttpConnectionPhase::kClosing;
      });
}

}  // namespace laburnumkeel::transport
