#ifndef LABURNUMKEEL_ADMISSION_ACCOUNT_TURNS_H_
#define LABURNUMKEEL_ADMISSION_ACCOUNT_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace laburnumkeel::admission {

// Whose turn it is among client accounts that share scarce room: start-time
// fair queueing with one unit a request.
//
// Load pattern: one account has a long queue while others send single requests.
// In order of arrival their wait grows with that queue; here a request of an
// account without a queue waits for at most one request of each other account.
class AccountTurns {
 public:
  // The turn of the account's first waiting request; the lowest is served next.
  // Its further requests take the turns after it.
  std::uint64_t Next(const std::string& account) const;

  // Records that a request of the account was given room.
  void OnServed(const std::string& account);

  // Number of accounts that are remembered: those ahead of the present turn.
  std::size_t Size() const { return this->next_turns.size(); }

 private:
  // Turn of the request that was served last. An account that had none waiting
  // starts here, so it cannot save up turns.
  std::uint64_t current = 0;
  std::map<std::string, std::uint64_t> next_turns;
};

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_ACCOUNT_TURNS_H_
