#include "laburnumkeel/admission/account_turns.h"

#include <algorithm>

namespace laburnumkeel::admission {

std::uint64_t AccountTurns::Next(const std::string& account) const {
  const auto found = this->next_turns.find(account);
  return found == this->next_turns.end()
             ? this->current
             : std::max(this->current, found->second);
}

void AccountTurns::OnServed(const std::string& account) {
  const std::uint64_t turn = this->Next(account);
  this->current = turn;
  this->next_turns[account] = turn + 1;
  std::erase_if(this->next_turns, [this](const auto& entry) {
    return entry.second <= this->current;
  });
}

}  // namespace laburnumkeel::admission
