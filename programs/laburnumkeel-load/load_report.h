#ifndef LABURNUMKEEL_PROGRAMS_LOAD_LOAD_REPORT_H_
#define LABURNUMKEEL_PROGRAMS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "programs/laburnumkeel-load/latency_histogram.h"

namespace laburnumkeel::load {

// Outcome of one request.
struct Sample {
  std::string account;
  std::string group;
  bool read = true;
  // Whether a token bucket with the account's rate and burst, for the whole
  // fleet, admits this request.
  bool within_rate = true;
  // Seconds since the start of the run at which the request was due and ended.
  double due_s = 0;
  double end_s = 0;
  // HTTP status; 0 when there was no response.
  int status = 0;
  // Error code of the response, empty on success.
  std::string code;
  std::string role;
  std::uint64_t term = 0;
};

// Collects samples and computes the results of a run. Thread-safe.
class LoadReport {
 public:
  void Add(const Sample& sample);

  // The results as a JSON document.
  nlohmann::json ToJson() const;

  // The results as a human-readable table.
  std::string ToTable() const;

 private:
  struct AccountTotals {
    std::uint64_t offered = 0;
    std::uint64_t within_rate = 0;
    std::uint64_t within_rate_served = 0;
    std::uint64_t refused_within_rate = 0;
    std::uint64_t refused_over_rate = 0;
    std::map<std::string, std::uint64_t> failures;
    LatencyHistogram latency;
  };

  struct SecondTotals {
    std::uint64_t within_rate = 0;
    std::uint64_t served = 0;
    LatencyHistogram latency;
  };

  // Acknowledged writes of one group in one term.
  struct TermWrites {
    double first_s = 0;
    double last_s = 0;
  };

  // Longest time in seconds from the last acknowledged write of a term to the
  // first one of the next term in the same group.
  double FailoverGap() const;
  nlohmann::json AccountsJson() const;
  nlohmann::json SecondsJson() const;

  mutable std::mutex mutex;
  std::map<std::string, AccountTotals> accounts;
  std::map<int, SecondTotals> seconds;
  std::map<std::string, std::map<std::uint64_t, TermWrites>> writes;
  std::uint64_t reads_served = 0;
  std::uint64_t reads_by_replica = 0;
  LatencyHistogram latency;
};

}  // namespace laburnumkeel::load

#endif  // LABURNUMKEEL_PROGRAMS_LOAD_LOAD_REPORT_H_
