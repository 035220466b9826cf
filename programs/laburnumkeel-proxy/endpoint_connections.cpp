#include "programs/laburnumkeel-proxy/endpoint_connections.h"

#include <algorithm>

namespace laburnumkeel::proxy {

using kernel::Instant;

EndpointConnections::Pointer EndpointConnections::FindFree(
    const StatementJob& job) const {
  Pointer best;
  for (const Pointer& connection : this->open) {
    if (!connection->IsOpen() || !connection->IsFree() ||
        (!job.is_internal && connection->Account() != job.account)) {
      continue;
    }
    if (!best || connection->Values().IsSubsetOf(job.values)) {
      best = connection;
    }
  }
  return best;
}

EndpointConnections::Pointer EndpointConnections::FindOldestFree() const {
  Pointer oldest;
  for (const Pointer& connection : this->open) {
    if (connection->IsOpen() && connection->IsFree() &&
        (!oldest || connection->last_used < oldest->last_used)) {
      oldest = connection;
    }
  }
  return oldest;
}

int EndpointConnections::OpeningCount(const std::string& account) const {
  return static_cast<int>(std::count_if(
      this->opening.begin(), this->opening.end(),
      [&](const auto& entry) { return entry.first->Account() == account; }));
}

bool EndpointConnections::IsInUse() const {
  return std::any_of(
      this->open.begin(), this->open.end(),
      [](const Pointer& connection) { return !connection->IsFree(); });
}

void EndpointConnections::StartOpening(const Pointer& connection, Instant now) {
  this->opening[connection] = now;
}

bool EndpointConnections::FinishOpening(const Pointer& connection) {
  return this->opening.erase(connection) > 0;
}

void EndpointConnections::Remove(const Pointer& connection) {
  std::erase(this->open, connection);
}

int EndpointConnections::CloseHangingSince(Instant oldest) {
  int closed = 0;
  for (const auto& [connection, started] : this->opening) {
    if (started <= oldest) {
      ++closed;
      connection->Close();
    }
  }
  std::erase_if(this->opening,
                [](const auto& entry) { return entry.first->IsClosed(); });
  return closed;
}

void EndpointConnections::CloseIdleSince(Instant oldest) {
  std::erase_if(this->open, [&](const Pointer& connection) {
    if (connection->IsFree() && connection->last_used <= oldest) {
      connection->Close();
    }
    return connection->IsClosed() && !connection->is_pinned;
  });
}

std::vector<EndpointConnections::Pointer> EndpointConnections::FreeSince(
    Instant oldest) const {
  std::vector<Pointer> idle;
  for (const Pointer& connection : this->open) {
    if (connection->IsFree() && connection->last_used < oldest) {
      idle.push_back(connection);
    }
  }
  return idle;
}

void EndpointConnections::CloseAll() {
  for (const Pointer& connection : this->open) {
    connection->Close();
  }
  for (const auto& [connection, started] : this->opening) {
    connection->Close();
  }
}

}  // namespace laburnumkeel::proxy
