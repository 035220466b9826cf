#include "programs/laburnumkeel-proxy/client_guard.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <optional>

#include "laburnumkeel/admission/closing_choice.h"
#include "laburnumkeel/kernel/event_log.h"
#include "programs/laburnumkeel-proxy/client_session.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using std::chrono::milliseconds;

namespace {

// What can wait leaves the rest of the budget to statements under way and to
// answers.
constexpr std::size_t kWaitingPercent = 80;
// Above the budget, connections are closed down to this part of it, so that the
// search for them is rare.
constexpr std::size_t kRelievedPercent = 90;
constexpr std::size_t kWholePercent = 100;
// The search for a connection to close goes through all of them.
constexpr milliseconds kSearchPause{100};
// Time limits are as coarse as this; going through all connections more often
// would cost processor time on ordinary days.
constexpr milliseconds kPassPeriod{1000};
// After a longer gap the process was suspended. What has arrived meanwhile is
// read before time limits apply.
constexpr milliseconds kMaximumPassGap{3000};

std::size_t Percent(std::size_t amount, std::size_t percent) {
  return amount / kWholePercent * percent;
}

}  // namespace

ClientGuard::ClientGuard(boost::asio::io_context& loop,
                         const kernel::RuntimeClock& clock,
                         kernel::Metrics& metrics,
                         const admission::ClientLimits& limits)
    : loop(loop),
      clock(clock),
      metrics(metrics),
      limits(limits),
      memory(limits.memory_bytes) {}

void ClientGuard::SetLimits(const admission::ClientLimits& new_limits) {
  this->limits = new_limits;
  this->memory.SetBudget(new_limits.memory_bytes);
  this->CheckBudget();
}

void ClientGuard::Add(ClientSession& session) {
  this->sessions.insert(&session);
}

void ClientGuard::Remove(ClientSession& session) {
  this->sessions.erase(&session);
}

void ClientGuard::Linger(const std::shared_ptr<transport::LineStream>& stream) {
  ClosingStream entry{stream, kernel::MemoryHolding(this->memory),
                      this->clock.Now() + this->limits.answer_timeout};
  entry.holding.Resize(stream->OutputBytes());
  this->closing.push_back(std::move(entry));
}

std::pair<std::vector<std::shared_ptr<ClientSession>>,
          std::vector<admission::ClientLoad>>
ClientGuard::Loads(const ClientSession* except) const {
  std::vector<std::shared_ptr<ClientSession>> open;
  std::vector<admission::ClientLoad> loads;
  open.reserve(this->sessions.size());
  loads.reserve(this->sessions.size());
  for (ClientSession* session : this->sessions) {
    if (session != except) {
      open.push_back(session->shared_from_this());
      loads.push_back(session->Load());
    }
  }
  return {std::move(open), std::move(loads)};
}

bool ClientGuard::Grow(const ClientSession& session,
                       kernel::MemoryHolding& holding, std::size_t bytes,
                       std::size_t limit) {
  const auto fits = [&] {
    return bytes <= holding.Bytes() ||
           this->memory.Used() + (bytes - holding.Bytes()) <= limit;
  };
  const Instant now = this->clock.Now();
  if (!fits() && now >= this->none_closable_until) {
    const auto [open, loads] = this->Loads(&session);
    const auto chosen = admission::ChooseForWaiting(loads, now);
    if (chosen) {
      open[*chosen]->Evict("memory is needed for others");
    } else {
      this->none_closable_until = now + kSearchPause;
    }
  }
  return fits() && holding.TryResize(bytes);
}

bool ClientGuard::GrowForStatement(const ClientSession& session,
                                   kernel::MemoryHolding& holding,
                                   std::size_t bytes) {
  return this->Grow(session, holding, bytes, this->memory.Budget());
}

bool ClientGuard::GrowForState(const ClientSession& session,
                               kernel::MemoryHolding& holding,
                               std::size_t bytes) {
  return this->Grow(session, holding, bytes,
                    Percent(this->memory.Budget(), kWaitingPercent));
}

void ClientGuard::AwaitMemory(ClientSession& session) {
  this->metrics.Count("client_messages_delayed");
  this->waiting.push_back(session.weak_from_this());
}

void ClientGuard::ServeWaiting() {
  while (!this->waiting.empty()) {
    const auto session = this->waiting.front().lock();
    if (session && !session->ContinueLargeMessage()) {
      return;
    }
    this->waiting.pop_front();
  }
}

void ClientGuard::CheckBudget() {
  if (this->memory.Used() <= this->memory.Budget() || this->is_relief_posted) {
    return;
  }
  this->is_relief_posted = true;
  boost::asio::post(this->loop, [this] {
    this->is_relief_posted = false;
    this->Relieve();
  });
}

void ClientGuard::Relieve() {
  const std::size_t target = Percent(this->memory.Budget(), kRelievedPercent);
  const std::size_t used = this->memory.Used();
  if (used <= this->memory.Budget()) {
    return;
  }
  const auto [open, loads] = this->Loads(nullptr);
  for (const std::size_t index :
       admission::ChooseForMemory(loads, used - target, this->clock.Now())) {
    open[index]->Evict("the clients' memory is used up");
  }
}

bool ClientGuard::MakeRoomForConnection() {
  if (this->Connections() < this->limits.connections) {
    return true;
  }
  const auto [open, loads] = this->Loads(nullptr);
  const auto chosen = admission::ChooseForConnection(loads, this->clock.Now());
  if (!chosen) {
    return false;
  }
  open[*chosen]->Evict("the connection is needed for others");
  return true;
}

void ClientGuard::Tick(Instant now) {
  this->ServeWaiting();
  if (now < this->last_pass + kPassPeriod) {
    return;
  }
  const bool was_suspended = now > this->last_pass + kMaximumPassGap;
  this->last_pass = now;
  this->LogNotes();
  if (!was_suspended) {
    this->CloseOverdue(now);
  }
}

void ClientGuard::CloseOverdue(Instant now) {
  std::erase_if(this->closing, [&](ClosingStream& entry) {
    entry.holding.Resize(entry.stream->OutputBytes());
    if (!entry.stream->IsClosed() && now >= entry.deadline) {
      this->Note("answer not taken");
      entry.stream->Reset();
    }
    return entry.stream->IsClosed();
  });
  std::vector<std::shared_ptr<ClientSession>> overdue;
  for (ClientSession* session : this->sessions) {
    if (session->CheckOverdue(now)) {
      overdue.push_back(session->shared_from_this());
    }
  }
  for (const auto& session : overdue) {
    session->EndOverdue();
  }
}

void ClientGuard::Note(const std::string& cause) {
  this->metrics.Count("clients_limited");
  ++this->notes[cause];
}

void ClientGuard::LogNotes() {
  for (const auto& [cause, count] : std::exchange(this->notes, {})) {
    kernel::LogEvent(kClientsLimited,
                     {{"cause", cause},
                      {"count", count},
                      {"connections", this->Connections()},
                      {"connections_limit", this->limits.connections},
                      {"memory_bytes", this->memory.Used()},
                      {"memory_budget", this->memory.Budget()}});
  }
}

}  // namespace laburnumkeel::proxy
