#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/model/database_endpoint.h"
#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/routing/primary_table.h"

// Rows that the VMs share through the store. All are in one table, so that a
// single call reads a consistent snapshot.
namespace laburnumkeel::proxy {

inline constexpr std::string_view kFleetTable = "laburnumkeel";
// Key of the record of the leader lease.
inline constexpr std::string_view kLeaderKey = "duty";
// Prefixes of keys that end with the name of a service or of a VM.
inline constexpr std::string_view kPrimaryKeyPrefix = "primary/";
inline constexpr std::string_view kVmKeyPrefix = "vm/";
inline constexpr std::string_view kMembersKeyPrefix = "members/";

std::string EncodeLeader(const promotion::LeaderRecord& record);
// Empty when the value cannot be read.
std::optional<promotion::LeaderRecord> DecodeLeader(std::string_view value);

std::string EncodePrimary(const routing::PrimaryRecord& record);
// Empty when the value cannot be read. `version` is the version of the row.
std::optional<routing::PrimaryRecord> DecodePrimary(std::string_view service,
                                                    std::uint64_t version,
                                                    std::string_view value);

// A registered VM.
struct VmRow {
  // The `IP:port` at which it receives messages from other VMs.
  std::string address;
  // Cores that it may use; 0 when an older program registered it.
  double processor_share = 0;
  // Empty when an older program registered it.
  std::string data_centre{};

  bool operator==(const VmRow&) const = default;
};

// The endpoints that take part in a service: those that are registered, and
// those that may still acknowledge commits without a registration. Only `id`,
// `service`, `address` and `data_centre` are kept.
std::string EncodeMembers(const std::vector<model::DatabaseEndpoint>& members);
// Empty when the value cannot be read.
std::optional<std::vector<model::DatabaseEndpoint>> DecodeMembers(
    std::string_view service, std::string_view value);

std::string EncodeVm(const VmRow& row);
// Empty when the value cannot be read.
std::optional<VmRow> DecodeVm(std::string_view value);

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FLEET_ROWS_H_
