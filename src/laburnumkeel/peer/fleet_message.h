#ifndef LABURNUMKEEL_PEER_FLEET_MESSAGE_H_
#define LABURNUMKEEL_PEER_FLEET_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/membership/delegate_ring.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/primary_table.h"

// Datagrams between the proxy programs of a fleet, encoded with Thrift.
namespace laburnumkeel::peer {

// A VM's report to the leader.
struct FleetReport {
  std::string vm;
  // Increases with each report; 0 is not used.
  std::int64_t sequence = 0;
  // Version of the newest published primary that the VM knows.
  std::uint64_t primaries_version = 0;
  // Amounts are rounded to thousandths.
  std::map<std::string, limits::AccountReport> accounts;
  // Sent while operations wait: contains only the accounts of those operations
  // and requests only what they need.
  bool is_partial = false;
  // The VM stops and uses none of its shares any more.
  bool is_leaving = false;
  // Positions up to which commits may have been acknowledged, for services
  // whose primary is being changed.
  std::map<std::string, model::LogPosition> committed{};
  // Revision of the ring of delegates that the VM follows.
  std::uint64_t delegates_revision = 0;
  // The VM can act as a delegate.
  bool can_delegate = false;
  std::string data_centre{};

  bool operator==(const FleetReport&) const = default;
};

// A position in a primary's log that covers all commits acknowledged more than
// `age` ago.
struct AgedPosition {
  model::LogPosition position;
  std::chrono::microseconds age{0};

  bool operator==(const AgedPosition&) const = default;
};

// Newest version at which rows of a table changed, and the age of the reading
// on which this is based.
struct TableFreshness {
  std::uint64_t version = 0;
  std::chrono::microseconds age{0};

  bool operator==(const TableFreshness&) const = default;
};

// The leader's response to a report, or its announcement.
struct FleetResponse {
  // Sequence of the report; 0 in an announcement sent without a report.
  std::int64_t sequence = 0;
  // Token of the leader's lease.
  std::uint64_t token = 0;
  // No primary was published after this version.
  std::uint64_t primaries_version = 0;
  // Primaries that the VM does not know.
  std::vector<routing::PrimaryRecord> primaries;
  // By service.
  std::map<std::string, AgedPosition> positions;
  std::map<std::string, limits::AccountGrant> accounts;
  TableFreshness operator_rows;
  TableFreshness endpoint_rows;
  int vm_count = 1;
  // Lag of each replica that is noticeably behind, by endpoint.
  std::map<std::string, std::chrono::milliseconds> lags;
  // In an announcement: the leader and the `IP:port` at which it accepts
  // reports.
  std::string leader;
  std::string leader_address;
  // In an announcement: the leader has given up its lease.
  bool is_released = false;
  // Revision of the ring of delegates in force, and the ring itself for a VM
  // that follows another one.
  std::uint64_t delegates_revision = 0;
  std::optional<membership::DelegateRing> delegates{};

  bool operator==(const FleetResponse&) const = default;
};

std::string Encode(const FleetReport& report);
std::string Encode(const FleetResponse& response);

// Empty when the bytes are not a valid message of that type.
std::optional<FleetReport> DecodeReport(std::string_view bytes);
std::optional<FleetResponse> DecodeResponse(std::string_view bytes);

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_FLEET_MESSAGE_H_
