#include "programs/laburnumkeel-load/load_plan.h"

#include <algorithm>
#include <boost/algorithm/string/split.hpp>
#include <cstdlib>

namespace laburnumkeel::load {

namespace {

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text,
                          [separator](char c) { return c == separator; });
  return parts;
}

bool ParsePositive(const std::string& text, double& value) {
  char* end = nullptr;
  value = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && value > 0;
}

}  // namespace

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts = Split(text, ',');
  std::erase(parts, "");
  return parts;
}

kernel::Result<std::vector<LoadAccount>, std::string> ParseAccounts(
    const std::string& text) {
  std::vector<LoadAccount> accounts;
  for (const std::string& part : SplitList(text)) {
    const std::vector<std::string> fields = Split(part, ':');
    LoadAccount account;
    if (fields.size() != 5 || !ParsePositive(fields[2], account.rate) ||
        !ParsePositive(fields[3], account.burst) ||
        !ParsePositive(fields[4], account.factor)) {
      // The part contains an API key, so the message has only the account name.
      std::string message =
          "account '" + fields[0] +
          "': expected name:key:rate:burst:factor with positive numbers";
      return message;
    }
    account.name = fields[0];
    account.key = fields[1];
    accounts.push_back(account);
  }
  return accounts;
}

}  // namespace laburnumkeel::load
