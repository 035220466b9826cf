#include "laburnumkeel/peer/fleet_message.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "laburnumkeel/peer/datagram_codec.h"
#include "laburnumkeel/peer/generated/fleet_types.h"

namespace laburnumkeel::peer {

namespace {

using detail::Deserialize;
using detail::Serialize;

// First byte of a datagram.
constexpr char kReportTag = 'R';
constexpr char kResponseTag = 'A';

std::int32_t ToWire(double amount) {
  return static_cast<std::int32_t>(std::clamp(
      std::round(amount * limits::kUnitsPerOperation), 0.0,
      static_cast<double>(std::numeric_limits<std::int32_t>::max())));
}

double FromWire(std::int32_t amount) {
  return amount / limits::kUnitsPerOperation;
}

std::int32_t ToWholeMilliseconds(double duration) {
  return static_cast<std::int32_t>(std::clamp(
      std::round(duration), 0.0,
      static_cast<double>(std::numeric_limits<std::int32_t>::max())));
}

generated::WirePrimary ToWire(const routing::PrimaryRecord& record) {
  generated::WirePrimary wire;
  wire.database_service = record.service;
  wire.endpoint = record.endpoint_id;
  wire.term = static_cast<std::int64_t>(record.term);
  wire.changing = record.is_changing;
  wire.version = static_cast<std::int64_t>(record.version);
  wire.lost = record.is_lost;
  wire.committed_term = static_cast<std::int64_t>(record.committed.term);
  wire.committed_position =
      static_cast<std::int64_t>(record.committed.position);
  return wire;
}

routing::PrimaryRecord FromWire(const generated::WirePrimary& wire) {
  routing::PrimaryRecord record{
      wire.database_service, wire.endpoint, static_cast<model::Term>(wire.term),
      wire.changing, static_cast<std::uint64_t>(wire.version)};
  record.is_lost = wire.lost;
  record.committed = {static_cast<model::Term>(wire.committed_term),
                      static_cast<std::uint64_t>(wire.committed_position)};
  return record;
}

std::vector<generated::WireDelegateVm> ToWire(
    const std::map<std::string, membership::DelegateVm>& vms) {
  std::vector<generated::WireDelegateVm> wire;
  for (const auto& [name, vm] : vms) {
    generated::WireDelegateVm entry;
    entry.vm = name;
    entry.address = vm.address;
    entry.data_centre = vm.data_centre;
    wire.push_back(std::move(entry));
  }
  return wire;
}

// A count that does not fit is as implausible as a negative one.
std::int64_t ToWireCount(std::uint64_t count) {
  return static_cast<std::int64_t>(
      std::min<std::uint64_t>(count, std::numeric_limits<std::int64_t>::max()));
}

generated::WireUsagePart ToWire(const usage::UsagePart& part,
                                const std::string& sender) {
  generated::WireUsagePart wire;
  if (part.source.vm != sender) {
    wire.vm = part.source.vm;
  }
  wire.incarnation = part.source.incarnation;
  wire.window = part.window;
  for (const auto& [account, count] : part.counts) {
    wire.counts[account] = ToWireCount(count);
  }
  return wire;
}

std::map<std::string, membership::DelegateVm> FromWire(
    const std::vector<generated::WireDelegateVm>& wire) {
  std::map<std::string, membership::DelegateVm> vms;
  for (const auto& entry : wire) {
    vms[entry.vm] = {entry.address, entry.data_centre};
  }
  return vms;
}

generated::WireDelegates ToWire(const membership::DelegateRing& ring) {
  generated::WireDelegates wire;
  wire.revision = static_cast<std::int64_t>(ring.revision);
  wire.settled = ring.is_settled;
  wire.members = ToWire(ring.members);
  wire.joining = ToWire(ring.joining);
  wire.retired.assign(ring.retired.begin(), ring.retired.end());
  return wire;
}

membership::DelegateRing FromWire(const generated::WireDelegates& wire) {
  return {static_cast<std::uint64_t>(wire.revision),
          wire.settled,
          FromWire(wire.members),
          FromWire(wire.joining),
          {wire.retired.begin(), wire.retired.end()}};
}

usage::UsagePart FromWire(const generated::WireUsagePart& wire,
                          const std::string& sender) {
  usage::UsagePart part{
      {wire.vm.empty() ? sender : wire.vm, wire.incarnation}, wire.window, {}};
  for (const auto& [account, count] : wire.counts) {
    part.counts[account] = static_cast<std::uint64_t>(count);
  }
  return part;
}

}  // namespace

std::string Encode(const FleetReport& report) {
  generated::WireReport wire;
  wire.vm = report.vm;
  wire.sequence = report.sequence;
  wire.primaries_version = static_cast<std::int64_t>(report.primaries_version);
  wire.brief = report.is_partial;
  wire.leaving = report.is_leaving;
  for (const auto& [name, account] : report.accounts) {
    generated::WireAccountReport entry;
    entry.account = name;
    entry.demand = ToWire(account.demand);
    entry.held_rate = ToWire(account.held.rate);
    entry.held_burst = ToWire(account.held.burst);
    entry.wanted = account.waiting_operations;
    wire.accounts.push_back(std::move(entry));
  }
  for (const auto& [service, position] : report.committed) {
    generated::WireCommitted entry;
    entry.database_service = service;
    entry.term = static_cast<std::int64_t>(position.term);
    entry.position = static_cast<std::int64_t>(position.position);
    wire.committed.push_back(std::move(entry));
  }
  for (const auto& [endpoint, load] : report.loads) {
    generated::WireEndpointLoad entry;
    entry.endpoint = endpoint;
    entry.attempts = ToWire(load.attempts);
    entry.excess_ms = ToWholeMilliseconds(load.excess_ms);
    entry.loss_ms = ToWholeMilliseconds(load.loss_ms);
    wire.loads.push_back(std::move(entry));
  }
  wire.delegates_revision =
      static_cast<std::int64_t>(report.delegates_revision);
  wire.can_delegate = report.can_delegate;
  wire.data_centre = report.data_centre;
  if (report.unix_ms) {
    wire.__set_unix_ms(*report.unix_ms);
    wire.__set_incarnation(report.incarnation);
  }
  if (report.usage_settled) {
    wire.__set_usage_settled(*report.usage_settled);
  }
  if (!report.usage.empty()) {
    wire.__isset.usage = true;
    for (const usage::UsagePart& part : report.usage) {
      wire.usage.push_back(ToWire(part, report.vm));
    }
  }
  return Serialize(kReportTag, wire);
}

std::string Encode(const FleetResponse& response) {
  generated::WireAnswer wire;
  wire.sequence = response.sequence;
  wire.token = static_cast<std::int64_t>(response.token);
  wire.primaries_version =
      static_cast<std::int64_t>(response.primaries_version);
  for (const routing::PrimaryRecord& record : response.primaries) {
    wire.primaries.push_back(ToWire(record));
  }
  for (const auto& [service, sample] : response.positions) {
    generated::WirePosition entry;
    entry.database_service = service;
    entry.term = static_cast<std::int64_t>(sample.position.term);
    entry.position = static_cast<std::int64_t>(sample.position.position);
    entry.age_us = sample.age.count();
    wire.positions.push_back(std::move(entry));
  }
  for (const auto& [name, grant] : response.accounts) {
    generated::WireAccountGrant entry;
    entry.account = name;
    entry.rate = ToWire(grant.share.rate);
    entry.burst = ToWire(grant.share.burst);
    entry.operations = grant.operations;
    entry.more_soon = grant.is_more_pending;
    wire.accounts.push_back(std::move(entry));
  }
  wire.operator_version =
      static_cast<std::int64_t>(response.operator_rows.version);
  wire.operator_age_us = response.operator_rows.age.count();
  wire.endpoint_version =
      static_cast<std::int64_t>(response.endpoint_rows.version);
  wire.endpoint_age_us = response.endpoint_rows.age.count();
  wire.vm_count = response.vm_count;
  for (const auto& [endpoint, lag] : response.lags) {
    generated::WireLag entry;
    entry.endpoint = endpoint;
    entry.lag_ms = static_cast<std::int32_t>(lag.count());
    wire.lags.push_back(std::move(entry));
  }
  wire.holder = response.leader;
  wire.holder_address = response.leader_address;
  wire.released = response.is_released;
  for (const auto& [endpoint, delay] : response.delays) {
    generated::WireEndpointDelay entry;
    entry.endpoint = endpoint;
    entry.excess_ms =
        ToWholeMilliseconds(static_cast<double>(delay.excess.count()));
    entry.loss_ms =
        ToWholeMilliseconds(static_cast<double>(delay.loss.count()));
    wire.delays.push_back(std::move(entry));
  }
  wire.delegates_revision =
      static_cast<std::int64_t>(response.delegates_revision);
  if (response.delegates) {
    wire.__set_delegates(ToWire(*response.delegates));
  }
  if (response.unix_ms) {
    wire.__set_unix_ms(*response.unix_ms);
  }
  if (response.usage_settled) {
    wire.__set_usage_settled(*response.usage_settled);
  }
  return Serialize(kResponseTag, wire);
}

std::optional<FleetReport> DecodeReport(std::string_view bytes) {
  const auto wire = Deserialize<generated::WireReport>(kReportTag, bytes);
  if (!wire) {
    return std::nullopt;
  }
  FleetReport report;
  report.vm = wire->vm;
  report.sequence = wire->sequence;
  report.primaries_version =
      static_cast<std::uint64_t>(wire->primaries_version);
  report.is_partial = wire->brief;
  report.is_leaving = wire->leaving;
  for (const auto& entry : wire->accounts) {
    report.accounts[entry.account] = {
        FromWire(entry.demand),
        {FromWire(entry.held_rate), FromWire(entry.held_burst)},
        entry.wanted};
  }
  for (const auto& entry : wire->committed) {
    report.committed[entry.database_service] = {
        static_cast<model::Term>(entry.term),
        static_cast<std::uint64_t>(entry.position)};
  }
  for (const auto& entry : wire->loads) {
    report.loads[entry.endpoint] = {FromWire(entry.attempts),
                                    static_cast<double>(entry.excess_ms),
                                    static_cast<double>(entry.loss_ms)};
  }
  report.delegates_revision =
      static_cast<std::uint64_t>(wire->delegates_revision);
  report.can_delegate = wire->can_delegate;
  report.data_centre = wire->data_centre;
  for (const auto& part : wire->usage) {
    report.usage.push_back(FromWire(part, report.vm));
  }
  if (wire->__isset.unix_ms) {
    report.unix_ms = wire->unix_ms;
    report.incarnation = wire->incarnation;
  }
  if (wire->__isset.usage_settled) {
    report.usage_settled = wire->usage_settled;
  }
  return report;
}

std::optional<FleetResponse> DecodeResponse(std::string_view bytes) {
  const auto wire = Deserialize<generated::WireAnswer>(kResponseTag, bytes);
  if (!wire) {
    return std::nullopt;
  }
  FleetResponse response;
  response.sequence = wire->sequence;
  response.token = static_cast<std::uint64_t>(wire->token);
  response.primaries_version =
      static_cast<std::uint64_t>(wire->primaries_version);
  for (const auto& entry : wire->primaries) {
    response.primaries.push_back(FromWire(entry));
  }
  for (const auto& entry : wire->positions) {
    response.positions[entry.database_service] = {
        {static_cast<model::Term>(entry.term),
         static_cast<std::uint64_t>(entry.position)},
        std::chrono::microseconds(entry.age_us)};
  }
  for (const auto& entry : wire->accounts) {
    response.accounts[entry.account] = {
        {FromWire(entry.rate), FromWire(entry.burst)},
        entry.operations,
        entry.more_soon};
  }
  response.operator_rows = {static_cast<std::uint64_t>(wire->operator_version),
                            std::chrono::microseconds(wire->operator_age_us)};
  response.endpoint_rows = {static_cast<std::uint64_t>(wire->endpoint_version),
                            std::chrono::microseconds(wire->endpoint_age_us)};
  response.vm_count = wire->vm_count;
  for (const auto& entry : wire->lags) {
    response.lags[entry.endpoint] = std::chrono::milliseconds(entry.lag_ms);
  }
  response.leader = wire->holder;
  response.leader_address = wire->holder_address;
  response.is_released = wire->released;
  for (const auto& entry : wire->delays) {
    response.delays[entry.endpoint] = {
        std::chrono::milliseconds(entry.excess_ms),
        std::chrono::milliseconds(entry.loss_ms)};
  }
  response.delegates_revision =
      static_cast<std::uint64_t>(wire->delegates_revision);
  if (wire->__isset.delegates) {
    response.delegates = FromWire(wire->delegates);
  }
  if (wire->__isset.unix_ms) {
    response.unix_ms = wire->unix_ms;
  }
  if (wire->__isset.usage_settled) {
    response.usage_settled = wire->usage_settled;
  }
  return response;
}

}  // namespace laburnumkeel::peer
