#ifndef LABURNUMKEEL_LIMITS_SHARE_LEDGER_CODEC_H_
#define LABURNUMKEEL_LIMITS_SHARE_LEDGER_CODEC_H_

#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

// Why a row's value is not a share ledger.
struct LedgerCodecError {
  std::string message;

  bool operator==(const LedgerCodecError&) const = default;
};

// JSON text of the ledger. Numbers are read back without loss.
std::string EncodeLedger(const ShareLedger& ledger);

// Fails on malformed JSON, missing fields and wrong types, on shares that are
// negative or not finite and on an incarnation with two entries.
kernel::Result<ShareLedger, LedgerCodecError> DecodeLedger(
    std::string_view text);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_LEDGER_CODEC_H_
