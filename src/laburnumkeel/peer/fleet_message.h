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
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/primary_table.h"

// Datagrams between the proxy programs of a fleet, encoded with Thrift.
namespace laburnumkeel::peer {

// What a VM tells the leader.
struct FleetReport {
  std::string vm;
  // Grows with each report; 0 is not used.
  std::int64_t sequence = 0;
  // Version of the newest published primary that the VM knows.
  std::uint64_t primaries_version = 0;
  // Amounts are rounded to thousandths.
  std::map<std::string, limits::AccountReport> accounts;
  // Sent while operations wait: holds only their accounts, and asks only for
  // what those need.
  bool is_brief = false;

  bool operator==(const FleetReport&) const = default;
};

// A position in a primary's log that covers all commits acknowledged more than
// `age` ago.
struct AgedPosition {
  model::LogPosition position;
  std::chrono::microseconds age{0};

  bool operator==(const AgedPosition&) const = default;
};

// Newest version at which rows of a table changed, and the age of the last
// reading that this is based on.
struct TableFreshness {
  std::uint64_t version = 0;
  std::chrono::microseconds age{0};

  bool operator==(const TableFreshness&) const = default;
};

// What the leader answers.
struct FleetAnswer {
  // Of the report; 0 in an announcement that nobody asked for.
  std::int64_t sequence = 0;
  // The holder's.
  std::uint64_t token = 0;
  // No primary has been published after this version.
  std::uint64_t primaries_version = 0;
  // Those that the VM does not know.
  std::vector<routing::PrimaryRecord> primaries;
  // By service.
  std::map<std::string, AgedPosition> positions;
  std::map<std::string, limits::AccountGrant> accounts;
  TableFreshness operator_rows;
  TableFreshness endpoint_rows;
  int vm_count = 1;
  // Replicas that are noticeably behind, by endpoint.
  std::map<std::string, std::chrono::milliseconds> lags;

  bool operator==(const FleetAnswer&) const = default;
};

std::string Encode(const FleetReport& report);
std::string Encode(const FleetAnswer& answer);

// Empty when the bytes are not such a message.
std::optional<FleetReport> DecodeReport(std::string_view bytes);
std::optional<FleetAnswer> DecodeAnswer(std::string_view bytes);

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_FLEET_MESSAGE_H_
