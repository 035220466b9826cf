#ifndef LABURNUMKEEL_PROGRAMS_PROXY_USAGE_ROW_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_USAGE_ROW_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/usage/usage_record.h"

namespace laburnumkeel::proxy {

// The row with the settled usage. It has a table of its own, so that VMs which
// read the fleet table do not read it.
inline constexpr std::string_view kUsageTable = "laburnumkeel-usage";
inline constexpr std::string_view kUsageKey = "settled";

// What the platform's store takes as the value of a row.
inline constexpr std::size_t kMaximumUsageRowBytes = 65536;

std::string EncodeUsage(const usage::UsageRecord& record);
// Empty when the value cannot be read.
std::optional<usage::UsageRecord> DecodeUsage(std::string_view value);

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_USAGE_ROW_H_
