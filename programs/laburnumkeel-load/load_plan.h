#ifndef LABURNUMKEEL_PROGRAMS_LOAD_LOAD_PLAN_H_
#define LABURNUMKEEL_PROGRAMS_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/result.h"

namespace laburnumkeel::load {

// One client account and the load it offers.
struct LoadAccount {
  std::string name;
  std::string key;
  // Configured rate (requests per second) and burst of the account, which
  // decide whether a refusal is wrongful.
  double rate = 0;
  double burst = 0;
  // Offered rate as a multiple of `rate`.
  double factor = 0;

  bool operator==(const LoadAccount&) const = default;
};

// Distribution of an account's requests over the VMs.
enum class Spread {
  // Each request goes to a random VM.
  kRoaming,
  // All requests of an account go to one VM.
  kOneVm,
  // All requests of an account go to one VM, which changes every 10 s.
  kMoving,
};

struct LoadPlan {
  // `IP:port` of the entry programs.
  std::vector<std::string> targets;
  std::string service;
  std::vector<std::string> groups;
  std::vector<LoadAccount> accounts;
  std::chrono::seconds duration{10};
  // Requests in the first seconds are sent but not counted, since the token
  // buckets of the fleet start empty.
  std::chrono::seconds warm_up{5};
  int workers = 64;
  int sessions_for_each_account = 8;
  int read_percent = 80;
  Spread spread = Spread::kRoaming;
  unsigned int seed = 1;

  bool operator==(const LoadPlan&) const = default;
};

// Parses `name:key:rate:burst:factor,...`; the error is a message for the user.
kernel::Result<std::vector<LoadAccount>, std::string> ParseAccounts(
    const std::string& text);

// Splits at commas and omits empty parts.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace laburnumkeel::load

#endif  // LABURNUMKEEL_PROGRAMS_LOAD_LOAD_PLAN_H_
