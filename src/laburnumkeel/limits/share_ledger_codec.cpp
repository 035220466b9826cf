#include "laburnumkeel/limits/share_ledger_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace laburnumkeel::limits {

namespace {

using nlohmann::json;

json EncodeAmount(const ShareAmount& amount) {
  return json::array({amount.rate, amount.burst});
}

double DecodeNumber(const json& number) {
  const auto value = number.get<double>();
  if (!std::isfinite(value) || value < 0) {
    throw std::invalid_argument("a share or demand is negative or not finite");
  }
  return value;
}

ShareAmount DecodeAmount(const json& pair) {
  return ShareAmount{DecodeNumber(pair.at(0)), DecodeNumber(pair.at(1))};
}

LedgerEntry DecodeEntry(const json& object) {
  std::map<std::string, AccountShares> accounts;
  for (const auto& [account, shares] : object.at("accounts").items()) {
    accounts[account] = AccountShares{DecodeAmount(shares.at("dynamic")),
                                      DecodeAmount(shares.at("reserve")),
                                      DecodeNumber(shares.at("demand"))};
  }
  return LedgerEntry{object.at("vm").get<std::string>(),
                     object.at("incarnation").get<std::string>(),
                     object.at("sequence").get<std::uint64_t>(),
                     object.at("configuration_version").get<std::uint64_t>(),
                     std::move(accounts)};
}

}  // namespace

std::string EncodeLedger(const ShareLedger& ledger) {
  json entries = json::array();
  for (const LedgerEntry& entry : ledger.entries) {
    json accounts = json::object();
    for (const auto& [account, shares] : entry.accounts) {
      accounts[account] = {{"dynamic", EncodeAmount(shares.dynamic)},
                           {"reserve", EncodeAmount(shares.reserve)},
                           {"demand", shares.demand}};
    }
    entries.push_back({{"vm", entry.vm},
                       {"incarnation", entry.incarnation},
                       {"sequence", entry.sequence},
                       {"configuration_version", entry.configuration_version},
                       {"accounts", accounts}});
  }
  return json{{"entries", entries}}.dump();
}

kernel::Result<ShareLedger, LedgerCodecError> DecodeLedger(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return LedgerCodecError{"the share ledger is not JSON"};
  }
  try {
    ShareLedger ledger;
    std::set<std::string> incarnations;
    for (const json& object : document.at("entries")) {
      ledger.entries.push_back(DecodeEntry(object));
      if (!incarnations.insert(ledger.entries.back().incarnation).second) {
        return LedgerCodecError{"incarnation '" +
                                ledger.entries.back().incarnation +
                                "' has two entries"};
      }
    }
    return ledger;
  } catch (const std::exception& fault) {
    return LedgerCodecError{std::string("the share ledger is malformed: ") +
                            fault.what()};
  }
}

}  // namespace laburnumkeel::limits
