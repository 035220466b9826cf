#include "laburnumkeel/usage/window_settler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumkeel::usage {

using std::chrono::milliseconds;

namespace {

// Most statements are answered within this time, and VMs report their counts
// twice in it.
constexpr milliseconds kShortestWait{1000};

}  // namespace

void WindowSettler::Reset() {
  this->record.reset();
  this->proposal.reset();
  this->acknowledged.clear();
}

bool WindowSettler::OnRead(const std::optional<UsageRecord>& row,
                           std::uint64_t era, WindowNumber known_settled,
                           WindowNumber acquired_in) {
  if (this->proposal) {
    if (row && row->HasSameContent(*this->proposal)) {
      this->OnWritten();
      return true;
    }
    if (row && row->store_era == era &&
        row->settled_through >= this->proposal->settled_through) {
      this->proposal.reset();
      this->record = row;
      return false;
    }
    this->proposal->store_era = era;
    return true;
  }
  if (this->record) {
    if (!row || !row->HasSameContent(*this->record) || row->store_era < era) {
      // The store was restored from a copy.
      this->proposal = this->record;
      this->proposal->store_era = era;
    }
    return true;
  }
  this->record = row.value_or(UsageRecord());
  if (!row) {
    this->record->settled_through = std::numeric_limits<WindowNumber>::min();
  }
  if (!row || row->store_era < era) {
    // A predecessor may have reported windows that ended before this VM
    // acquired the lease, and the store may have lost that.
    known_settled = std::max(known_settled, acquired_in - 1);
  }
  this->record->settled_through =
      std::max(this->record->settled_through, known_settled);
  return true;
}

std::optional<std::pair<WindowNumber, WindowNumber>> WindowSettler::SkipBacklog(
    UnixMilliseconds now) {
  if (!this->IsReady()) {
    return std::nullopt;
  }
  const WindowNumber first = this->record->settled_through + 1;
  const WindowNumber last = this->clock.At(now) - kMaximumBacklog;
  if (last < first) {
    return std::nullopt;
  }
  this->record->settled_through = last;
  return std::make_pair(first, last);
}

void WindowSettler::Propose(AccountCounts counts, std::uint64_t era) {
  UsageRecord next = *this->record;
  next.settled_through += 1;
  for (const WindowNumber window : this->acknowledged) {
    next.unacknowledged.erase(window);
  }
  next.unacknowledged[next.settled_through] = std::move(counts);
  next.store_era = era;
  this->proposal = std::move(next);
}

void WindowSettler::OnWritten() {
  this->record = std::exchange(this->proposal, std::nullopt);
  std::erase_if(this->acknowledged, [this](WindowNumber window) {
    return !this->record->unacknowledged.contains(window);
  });
}

std::optional<WindowNumber> WindowSettler::NextReport() const {
  if (!this->record) {
    return std::nullopt;
  }
  for (const auto& [window, counts] : this->record->unacknowledged) {
    if (!this->acknowledged.contains(window)) {
      return window;
    }
  }
  return std::nullopt;
}

const AccountCounts* WindowSettler::CountsOf(WindowNumber window) const {
  if (!this->record || !this->record->unacknowledged.contains(window)) {
    return nullptr;
  }
  return &this->record->unacknowledged.at(window);
}

void WindowSettler::OnAcknowledged(WindowNumber window) {
  if (this->record && this->record->unacknowledged.contains(window)) {
    this->acknowledged.insert(window);
  }
}

WindowNumber WindowSettler::SettledThrough() const {
  return this->record ? this->record->settled_through
                      : std::numeric_limits<WindowNumber>::min();
}

milliseconds WindowSettler::MinimumWait() const {
  return std::max(this->delay / 4, std::min(kShortestWait, this->delay / 2));
}

}  // namespace laburnumkeel::usage
