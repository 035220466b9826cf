#include "programs/laburnumkeel-load/load_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace laburnumkeel::load {

namespace {

using nlohmann::json;

constexpr int kTooManyRequests = 429;
constexpr int kOk = 200;

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void LoadReport::Add(const Sample& sample) {
  const std::lock_guard lock(this->mutex);
  const bool served = sample.status == kOk;
  const double latency_ms = (sample.end_s - sample.due_s) * 1000;
  AccountTotals& account = this->accounts[sample.account];
  ++account.offered;
  account.within_rate += sample.within_rate ? 1 : 0;
  if (sample.status == kTooManyRequests) {
    ++(sample.within_rate ? account.refused_within_rate
                          : account.refused_over_rate);
  } else if (!served) {
    ++account.failures[sample.code.empty() ? "no_response" : sample.code];
  }
  if (sample.within_rate) {
    SecondTotals& second = this->seconds[static_cast<int>(sample.due_s)];
    ++second.within_rate;
    if (served) {
      ++second.served;
      second.latency.Add(latency_ms);
      ++account.within_rate_served;
    }
  }
  if (!served) {
    return;
  }
  account.latency.Add(latency_ms);
  this->latency.Add(latency_ms);
  if (sample.read) {
    ++this->reads_served;
    this->reads_by_replica += sample.role == "replica" ? 1 : 0;
    return;
  }
  const auto [entry, first] = this->writes[sample.group].try_emplace(
      sample.term, TermWrites{sample.end_s, sample.end_s});
  if (!first) {
    entry->second.first_s = std::min(entry->second.first_s, sample.end_s);
    entry->second.last_s = std::max(entry->second.last_s, sample.end_s);
  }
}

double LoadReport::FailoverGap() const {
  double longest = 0;
  for (const auto& [group, terms] : this->writes) {
    const TermWrites* previous = nullptr;
    for (const auto& [term, current] : terms) {
      if (previous != nullptr) {
        longest = std::max(longest, current.first_s - previous->last_s);
      }
      previous = &current;
    }
  }
  return longest;
}

json LoadReport::AccountsJson() const {
  json result = json::array();
  for (const auto& [name, totals] : this->accounts) {
    result.push_back({{"account", name},
                      {"offered", totals.offered},
                      {"within_rate", totals.within_rate},
                      {"within_rate_served_share",
                       Ratio(totals.within_rate_served, totals.within_rate)},
                      {"refused_within_rate", totals.refused_within_rate},
                      {"refused_over_rate", totals.refused_over_rate},
                      {"failures", totals.failures},
                      {"p50_ms", totals.latency.Quantile(0.5)},
                      {"p99_ms", totals.latency.Quantile(0.99)}});
  }
  return result;
}

json LoadReport::SecondsJson() const {
  json result = json::array();
  for (const auto& [second, totals] : this->seconds) {
    result.push_back(
        {{"second", second},
         {"served_share", Ratio(totals.served, totals.within_rate)},
         {"p99_ms", totals.latency.Quantile(0.99)}});
  }
  return result;
}

json LoadReport::ToJson() const {
  const std::lock_guard lock(this->mutex);
  std::uint64_t within_rate = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  double worst_share = 1;
  double worst_p99 = 0;
  for (const auto& [name, totals] : this->accounts) {
    within_rate += totals.within_rate;
    refused += totals.refused_within_rate;
    for (const auto& [code, count] : totals.failures) {
      failed += count;
    }
    worst_share = std::min(
        worst_share, Ratio(totals.within_rate_served, totals.within_rate));
    worst_p99 = std::max(worst_p99, totals.latency.Quantile(0.99));
  }
  return {
      {"replica_read_share", Ratio(this->reads_by_replica, this->reads_served)},
      {"reads", this->reads_served},
      {"failover_gap_s", this->FailoverGap()},
      {"worst_account_served_share", worst_share},
      {"worst_account_p99_ms", worst_p99},
      {"within_rate", within_rate},
      {"refused_within_rate", refused},
      {"wrongful_refusal_share",
       within_rate == 0 ? 0 : Ratio(refused, within_rate)},
      {"failed", failed},
      {"p50_ms", this->latency.Quantile(0.5)},
      {"p99_ms", this->latency.Quantile(0.99)},
      {"accounts", this->AccountsJson()},
      {"seconds", this->SecondsJson()}};
}

std::string LoadReport::ToTable() const {
  const json report = this->ToJson();
  std::ostringstream table;
  table << std::fixed << std::setprecision(4);
  for (const char* name :
       {"replica_read_share", "failover_gap_s", "worst_account_served_share",
        "worst_account_p99_ms", "wrongful_refusal_share", "p50_ms", "p99_ms"}) {
    table << std::left << std::setw(30) << name << report[name].get<double>()
          << '\n';
  }
  for (const char* name : {"within_rate", "refused_within_rate", "failed"}) {
    table << std::left << std::setw(30) << name
          << report[name].get<std::uint64_t>() << '\n';
  }
  table << '\n'
        << std::left << std::setw(14) << "account" << std::right << std::setw(9)
        << "offered" << std::setw(9) << "in rate" << std::setw(9) << "served"
        << std::setw(9) << "refused" << std::setw(10) << "p50 ms"
        << std::setw(10) << "p99 ms"
        << "  failures\n";
  table << std::setprecision(2);
  for (const json& account : report["accounts"]) {
    table << std::left << std::setw(14) << account["account"].get<std::string>()
          << std::right << std::setw(9) << account["offered"].get<int>()
          << std::setw(9) << account["within_rate"].get<int>() << std::setw(8)
          << account["within_rate_served_share"].get<double>() * 100 << '%'
          << std::setw(9) << account["refused_within_rate"].get<int>()
          << std::setw(10) << account["p50_ms"].get<double>() << std::setw(10)
          << account["p99_ms"].get<double>() << "  "
          << account["failures"].dump() << '\n';
  }
  return table.str();
}

}  // namespace laburnumkeel::load
