#include "laburnumkeel/limits/write_attempts.h"

#include <algorithm>

namespace laburnumkeel::limits {

void WriteAttempts::Add(const WriteAttempt& attempt) {
  this->undecided.push_back(attempt);
}

void WriteAttempts::Remove(std::uint64_t sequence) {
  std::erase_if(this->undecided, [&](const WriteAttempt& attempt) {
    return attempt.entry.sequence == sequence;
  });
}

void WriteAttempts::Resolve(const LedgerEntry* own, std::uint64_t row_version) {
  const auto attempt = std::find_if(
      this->undecided.begin(), this->undecided.end(),
      [&](const WriteAttempt& candidate) {
        return own != nullptr && candidate.entry.sequence == own->sequence;
      });
  if (attempt != this->undecided.end()) {
    this->lease_start = attempt->sent;
    this->committed = *own;
  } else if (own != nullptr && own->sequence == this->committed.sequence) {
    // Other VMs may have removed expired shares from the entry.
    this->committed = *own;
  } else {
    this->committed = LedgerEntry{};
  }
  // A write is conditional on its base version, so it can no longer be
  // committed once that version was replaced.
  std::erase_if(this->undecided, [&](const WriteAttempt& candidate) {
    return candidate.base_version < row_version;
  });
}

AccountShares WriteAttempts::Usable(const std::string& account) const {
  AccountShares usable = SharesOf(this->committed, account);
  for (const WriteAttempt& attempt : this->undecided) {
    usable = Smaller(usable, SharesOf(attempt.entry, account));
  }
  return usable;
}

std::vector<std::string> WriteAttempts::Accounts() const {
  std::vector<std::string> accounts;
  for (const auto& [account, shares] : this->committed.accounts) {
    accounts.push_back(account);
  }
  return accounts;
}

}  // namespace laburnumkeel::limits
