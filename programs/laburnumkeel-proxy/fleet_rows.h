#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_

#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/routing/primary_table.h"

// Rows that the VMs share through the store, all in one table so that a single
// call reads them as of one moment.
namespace laburnumkeel::proxy {

inline constexpr std::string_view kFleetTable = "laburnumkeel";
// Key of the record of the leader lease.
inline constexpr std::string_view kLeaderKey = "duty";
// Followed by the name of the service, or of the VM.
inline constexpr std::string_view kPrimaryKeyPrefix = "primary/";
inline constexpr std::string_view kVmKeyPrefix = "vm/";

std::string EncodeLeader(const promotion::LeaderRecord& record);
// Empty when the value cannot be read.
std::optional<promotion::LeaderRecord> DecodeLeader(std::string_view value);

std::string EncodePrimary(const routing::PrimaryRecord& record);
// Empty when the value cannot be read. The version is the row's.
std::optional<routing::PrimaryRecord> DecodePrimary(std::string_view service,
                                                    std::uint64_t version,
                                                    std::string_view value);

// Where a VM receives messages of other VMs.
std::string EncodeVm(const std::string& peer_address);
std::optional<std::string> DecodeVm(std::string_view value);

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_
