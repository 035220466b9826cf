#include "standins/standin-endpoint/database.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::standins {

namespace {

constexpr std::size_t kMaximumEntriesPerRequest = 1000;
// Until an endpoint has a new primary, its sealed term is above the term of its
// log end, so a poll would return at once every time. The pause keeps pollers
// from a busy loop.
constexpr std::chrono::milliseconds kSealedPause{20};

}  // namespace

Database::Database(const DatabaseOptions& options)
    : options(options), staleness(this->clock.Now()) {}

model::EndpointStatus Database::Status() {
  const std::lock_guard lock(this->mutex);
  this->ApplyDue();
  return this->CurrentStatus();
}

model::EndpointStatus Database::WaitForChange(const model::LogPosition& after,
                                              std::chrono::milliseconds wait) {
  std::unique_lock lock(this->mutex);
  const model::Term sealed = this->terms.SealedTerm();
  const auto pause = sealed > after.term ? std::min(wait, kSealedPause) : wait;
  this->changed.wait_for(lock, pause, [&] {
    return this->stopping || this->log.End() != after ||
           this->terms.SealedTerm() != sealed;
  });
  this->ApplyDue();
  return this->CurrentStatus();
}

void Database::BeginFirstTerm() {
  const std::lock_guard lock(this->mutex);
  this->terms.Join(1);
  this->terms.BecomePrimary();
  this->AppendAsPrimary(LogEntry{1, {}, "", ""});
}

bool Database::Seal(model::Term term, const std::string& promoter) {
  const std::lock_guard lock(this->mutex);
  this->RecordOwnStateIfPrimary();
  const bool accepted = this->terms.Seal(term, promoter);
  this->changed.notify_all();
  return accepted;
}

bool Database::Promote(model::Term term, const std::string& promoter) {
  const std::lock_guard lock(this->mutex);
  if (!this->terms.CanPromote(term, promoter, this->log.End().term)) {
    return false;
  }
  if (!this->terms.IsPrimary()) {
    this->terms.BecomePrimary();
    this->drain_end = kernel::Instant{};
    this->unapplied.clear();
    this->AppendAsPrimary(LogEntry{term, {}, "", ""});
  }
  return true;
}

void Database::Drain(std::chrono::milliseconds time) {
  const std::lock_guard lock(this->mutex);
  this->drain_end = this->clock.Now() + time;
}

Database::Response Database::Read(const Statement& statement) {
  if (statement.kind != StatementKind::kGet) {
    return Refusal::kBadStatement;
  }
  const std::lock_guard lock(this->mutex);
  this->ApplyDue();
  const std::uint64_t position = this->state.Position();
  return StatementResponse{
      model::LogPosition{this->log.TermAt(position), position},
      this->state.Value(statement.key)};
}

Database::Response Database::Write(model::Term term, const Statement& statement,
                                   const std::string& idempotency_id) {
  const std::lock_guard lock(this->mutex);
  if (const auto refusal = this->CheckNewWork(term)) {
    return *refusal;
  }
  if (const auto first = this->state.FirstResult(idempotency_id)) {
    return this->MakeResponseAtLogEnd(first, true);
  }
  Transaction transaction(term);
  const auto value = transaction.Run(statement, this->state);
  if (!value.has_value()) {
    return Refusal::kBadStatement;
  }
  if (statement.kind != StatementKind::kGet) {
    this->AppendAsPrimary(LogEntry{term, transaction.Writes(), idempotency_id,
                                   value->text.value_or("")});
  }
  return this->MakeResponseAtLogEnd(value->text, false);
}

Database::Response Database::Begin(model::Term term) {
  const std::lock_guard lock(this->mutex);
  if (const auto refusal = this->CheckNewWork(term)) {
    return *refusal;
  }
  return this->MakeResponseAtLogEnd("begun", false);
}

Database::Response Database::RunInTransaction(Transaction& transaction,
                                              model::Term term,
                                              const Statement& statement) {
  const std::lock_guard lock(this->mutex);
  if (const auto refusal = this->CheckPrimary(term)) {
    return *refusal;
  }
  if (transaction.BeginTerm() != term) {
    return Refusal::kStaleTerm;
  }
  const auto value = transaction.Run(statement, this->state);
  if (!value.has_value()) {
    return Refusal::kBadStatement;
  }
  return this->MakeResponseAtLogEnd(value->text, false);
}

Database::Response Database::Commit(const Transaction& transaction,
                                    model::Term term) {
  const std::lock_guard lock(this->mutex);
  if (const auto refusal = this->CheckNewWork(term)) {
    return *refusal;
  }
  if (transaction.BeginTerm() != term) {
    return Refusal::kStaleTerm;
  }
  if (transaction.HasConflict(this->state)) {
    return Refusal::kConflict;
  }
  std::vector<KeyWrite> writes = transaction.Writes();
  if (!writes.empty()) {
    this->AppendAsPrimary(LogEntry{term, std::move(writes), "", ""});
  }
  return this->MakeResponseAtLogEnd("committed", false);
}

bool Database::Replicate(const Replication& replication,
                         std::chrono::milliseconds transit) {
  const std::lock_guard lock(this->mutex);
  this->RecordOwnStateIfPrimary();
  const model::Term earlier = this->terms.SealedTerm();
  if (!this->terms.Join(replication.term)) {
    return false;
  }
  if (this->terms.SealedTerm() != earlier ||
      this->log.End().term != replication.term) {
    this->staleness.DropPending();
  }
  const auto kept = this->log.Merge(replication.previous, replication.entries);
  this->changed.notify_all();
  if (!kept.has_value()) {
    return false;
  }
  const kernel::Instant now = this->clock.Now();
  this->DropAfter(*kept);
  this->unapplied.push_back(ReceivedEntries{
      this->log.End().position, now + this->options.replication_lag});
  this->staleness.Observe(replication.primary_end, now - transit);
  this->ApplyDue();
  return true;
}

std::optional<Replication> Database::EntriesAfter(
    std::uint64_t position) const {
  const std::lock_guard lock(this->mutex);
  if (!this->terms.IsPrimary()) {
    return std::nullopt;
  }
  const std::uint64_t end = this->log.End().position;
  const std::uint64_t previous = std::min(position, end);
  return Replication{this->terms.SealedTerm(),
                     model::LogPosition{this->log.TermAt(previous), previous},
                     this->log.After(previous, kMaximumEntriesPerRequest), end};
}

void Database::WaitForEntries(std::uint64_t position,
                              std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, timeout, [&] {
    return this->stopping ||
           (this->terms.IsPrimary() && this->log.End().position > position);
  });
}

void Database::Stop() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
  this->changed.notify_all();
}

std::optional<Refusal> Database::CheckPrimary(model::Term term) const {
  if (term < this->terms.SealedTerm()) {
    return Refusal::kStaleTerm;
  }
  if (term > this->terms.SealedTerm() || !this->terms.IsPrimary()) {
    return Refusal::kNotPrimary;
  }
  return std::nullopt;
}

std::optional<Refusal> Database::CheckNewWork(model::Term term) const {
  if (const auto refusal = this->CheckPrimary(term)) {
    return refusal;
  }
  if (this->clock.Now() < this->drain_end) {
    return Refusal::kDraining;
  }
  return std::nullopt;
}

void Database::AppendAsPrimary(LogEntry entry) {
  this->log.Append(std::move(entry));
  this->ApplyUpTo(this->log.End().position);
  this->changed.notify_all();
}

void Database::RecordOwnStateIfPrimary() {
  if (this->terms.IsPrimary()) {
    this->staleness.Observe(this->state.Position(), this->clock.Now());
    this->staleness.OnApplied(this->state.Position());
  }
}

void Database::ApplyUpTo(std::uint64_t position) {
  while (this->state.Position() < position) {
    this->state.Apply(this->log.At(this->state.Position() + 1));
  }
  this->staleness.OnApplied(this->state.Position());
}

void Database::ApplyDue() {
  const kernel::Instant now = this->clock.Now();
  while (!this->unapplied.empty() && this->unapplied.front().due <= now) {
    this->ApplyUpTo(this->unapplied.front().end);
    this->unapplied.pop_front();
  }
  this->staleness.OnApplied(this->state.Position());
}

void Database::DropAfter(std::uint64_t position) {
  for (ReceivedEntries& received : this->unapplied) {
    received.end = std::min(received.end, position);
  }
  if (this->state.Position() > position) {
    // Applied entries cannot be undone, so the state is rebuilt from the log.
    this->state = AppliedState{};
    this->ApplyUpTo(position);
  }
}

model::EndpointStatus Database::CurrentStatus() const {
  const bool primary = this->terms.IsPrimary();
  return model::EndpointStatus{
      this->options.name,
      this->options.group,
      this->terms.Role(),
      this->terms.SealedTerm(),
      this->log.End(),
      this->state.Position(),
      primary ? 0 : this->staleness.Age(this->clock.Now()).count(),
      this->log.TermStarts()};
}

StatementResponse Database::MakeResponseAtLogEnd(
    std::optional<std::string> text, bool repeated) const {
  return StatementResponse{this->log.End(), std::move(text), repeated};
}

}  // namespace laburnumkeel::standins
