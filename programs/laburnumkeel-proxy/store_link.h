#ifndef LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/transport/http_channel.h"
#include "laburnumkeel/transport/http_responder.h"
#include "platform/store_codec.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/relay_sources.h"
#include "programs/laburnumkeel-proxy/relayed_rows.h"

namespace laburnumkeel::proxy {

// The only client of the platform's store in this process. Keeps the
// configuration, endpoints, evacuated data centres, primaries and VM count of
// the context up to date, and performs conditional writes.
class StoreLink {
 public:
  struct Observers {
    // The configuration, an endpoint, an evacuation or a primary changed.
    std::function<void()> on_change;
    // The row of the leader lease was read; `record` is null when there is
    // none, and `version` then that of the store.
    std::function<void(const promotion::LeaderRecord* record,
                       std::uint64_t version, std::int64_t store_now_ms)>
        on_leader;
  };

  // The outcome of a write. On success `version` is the version of all rows
  // written.
  struct WriteOutcome {
    enum class Kind { kDone, kConflict, kUnknown } kind = Kind::kUnknown;
    std::uint64_t version = 0;
  };

  // The newest version at which a row of a table changed, as of `read_at`.
  struct TableState {
    std::uint64_t version = 0;
    kernel::Instant read_at;
  };

  StoreLink(ProxyContext& context, Observers observers);

  // Listens at the peer address for VMs that the store refuses. Returns false
  // when it cannot be bound.
  bool Listen();

  // Starts the calls that are due. The leader polls the tables continually on
  // behalf of the other VMs. Any other VM reads them when the leader reports a
  // change, or when neither has read them for `max_age`. While the store fails
  // for it, it asks another VM for what the leader has reported.
  void Tick(kernel::Instant now, bool is_leader);

  // Another VM has read the tables and reports their state.
  void OnPeerTableState(const TableState& operator_state,
                        const TableState& endpoint_state);

  const TableState& OperatorRows() const { return this->operator_rows.state; }
  const TableState& EndpointRows() const { return this->endpoint_rows.state; }

  // Reads the fleet table at the next tick.
  void ReadFleetSoon() { this->is_fleet_due = true; }

  // True when the fleet table was read by a call sent after `instant`.
  bool HasReadFleetSince(kernel::Instant instant) const {
    return this->fleet_read_sent > instant;
  }

  // True when every live endpoint is among those of the context: the endpoint
  // table has been read without a gap for so long that rows which expired
  // before that are back. False after the start of this process.
  bool AreEndpointsComplete() const;

  // When the call was sent to which an observer is told of the leader's row.
  kernel::Instant FleetCalledAt() const { return this->fleet_called_at; }

  // True when the fleet table was read in the store's present era.
  bool HasReadFleetInEra() const { return this->fleet_read_era == this->era; }

  // Estimate of the store's clock, never too low; 0 before the first response.
  std::int64_t StoreNowMs(kernel::Instant now) const;

  // When the store was last read successfully. For the fleet table this counts
  // from when the call was sent.
  kernel::Instant LastReadAt() const {
    return std::max({this->operator_rows.state.read_at,
                     this->endpoint_rows.state.read_at, this->fleet_read_sent});
  }

  // The registered VMs by name.
  const std::map<std::string, VmRow>& Vms() const { return this->vms; }
  std::set<std::string> VmNames() const;

  // True when no registered VM may use more processor time than this one.
  bool IsLargestVm() const;

  // Notifies the observers that primaries changed.
  void NotifyChange() { this->observers.on_change(); }

  // Rows to write, and the versions on which that depends.
  struct Transaction {
    std::vector<platform_adapter::RowExpectation> expectations;
    std::vector<platform_adapter::RowWrite> writes;
  };

  // Writes rows, with one call at a time. `make_transaction` is called when all
  // earlier writes have ended, so that it knows the versions that they left
  // behind. The write conflicts without a call when it returns nothing, or when
  // it expects versions of an earlier era.
  void Write(std::function<std::optional<Transaction>()> make_transaction,
             std::function<void(const WriteOutcome&)> handler);

  // Reads a table that fits into one response and that is not read otherwise.
  // The handler gets nothing when that failed, or when the store's era changed
  // meanwhile. Returns false when such a call is under way already.
  bool ReadTableOnce(
      std::string_view table,
      std::function<void(const std::optional<platform_adapter::StoreRows>&)>
          handler);

  // True when both the configuration and the endpoints have been read.
  bool IsComplete() const;

  // The store's era; 0 before its first response.
  std::uint64_t Era() const { return this->era.value_or(0); }

  // Version of the row of a service's primary; 0 when there is none.
  std::uint64_t PrimaryVersion(const std::string& service) const;

  // A row that lists the endpoints of a service.
  struct MembersRow {
    std::uint64_t version = 0;
    std::vector<std::string> ids;
  };
  // The row of a service's endpoints; null when there is none.
  const MembersRow* FindMembers(const std::string& service) const;
  // Records that the row was written.
  void OnMembersWritten(const std::string& service, MembersRow row);

  // Records the version at which the row of a service's primary was read or
  // written.
  void OnPrimaryWritten(const std::string& service, std::uint64_t version);

 private:
  // Reads one table in full, and then only the changes since. After a failure
  // it is read in full again: a response with the changes grows with each
  // failure, while a page of rows has a limit.
  struct TableReader {
    std::string table;
    // The table is read when neither this VM nor the leader has read it for
    // this long.
    kernel::Duration max_age;
    // Minimum time between reads on a VM that is not the leader, so that
    // changes in quick succession are read together.
    std::chrono::milliseconds min_read_interval;
    // While this VM is the leader: time between calls, and how long the store
    // holds a call open when there are no changes.
    std::chrono::milliseconds leader_poll_interval;
    std::chrono::milliseconds leader_wait;
    std::unique_ptr<transport::HttpChannel> channel;
    // The VM that is asked while the store fails, and when that may be next.
    std::unique_ptr<transport::HttpChannel> relay_channel;
    std::string relay_address;
    kernel::Instant relay_at;
    kernel::Instant retry_at;
    kernel::Instant called_at;
    // The store's era, as known when the call was sent.
    std::optional<std::uint64_t> called_era;
    std::chrono::milliseconds wait{0};
    // How much older than `read_at` an answer may be that the store held open.
    std::chrono::milliseconds answer_delay{0};
    // The departures that the table announces.
    routing::DepartureTable* departures = nullptr;
    TableState state;
    TableState peer_state;
    // All rows are known as of `version`.
    bool is_loaded = false;
    // The next call that does not continue a full read starts one.
    bool is_full_read_due = true;
    // The call under way, or the last one, reads rows.
    bool is_reading_in_full = false;
    // The call is due now, however fresh the last reading is.
    bool is_due_now = false;
    std::uint64_t version = 0;
    // The rows by key, for other VMs, and when they were last known to be
    // current.
    std::map<std::string, platform_adapter::StoreRow> rows;
    kernel::Instant current_as_of;
    // Keys read so far while reading in full.
    std::vector<std::string> loaded_keys;
    // Key of the last row read so far; empty while no full read continues.
    std::string load_after;
    // The store's version when it sent the first page, and when that was
    // requested: a row of the first page may change before the last one is
    // read.
    std::uint64_t first_page_version = 0;
    kernel::Instant first_page_called_at;
    // A page changed the context, and the observers are not yet told.
    bool has_changed = false;
    // Calls that failed since the last successful one, and the status of the
    // last of them.
    std::uint64_t failures = 0;
    int failure_status = 0;
    // Since when the leader reports a newer version than this VM has read, and
    // when that is logged next; zero while it does not.
    kernel::Instant outdated_since;
    kernel::Instant outdated_log_at;
  };

  struct PendingWrite {
    std::function<std::optional<Transaction>()> make_transaction;
    std::function<void(const WriteOutcome&)> handler;
    // The versions that it expects are of this era; empty when it expects none,
    // and before it is sent.
    std::optional<std::uint64_t> expected_era;
  };

  // Processes the store's era, which each of its responses contains. In a new
  // era everything is read again.
  void ObserveEra(const transport::HttpAnswer& answer);
  // True while rows may be missing or outdated because the store was restored.
  bool IsSettling() const {
    return this->context.clock.Now() < this->settles_at;
  }
  void ReadAgainWhenSettled(kernel::Instant now);
  bool IsDue(const TableReader& reader, kernel::Instant now) const;
  void ReadTable(TableReader& reader, kernel::Instant now);
  void OnTableRead(TableReader& reader, const transport::HttpAnswer& answer);
  void OnReadFailed(TableReader& reader, const transport::HttpAnswer& answer);
  // Takes over a page of rows, or changes, that were current at `called_at`.
  // `source` is told to the log.
  void TakeRows(TableReader& reader, const platform_adapter::StoreRows& page,
                kernel::Instant called_at, std::string_view source);
  // Asks another VM for the rows that the leader has reported.
  void AskVm(TableReader& reader);
  void OnVmAnswer(TableReader& reader, const transport::HttpAnswer& answer,
                  kernel::Instant sent);
  // Answers another VM.
  transport::HttpAnswer AnswerVm(const std::string& target) const;
  // Logs and measures for how long this VM lacks what the leader has read.
  void ObserveOutdated(TableReader& reader, kernel::Instant now);
  // Records that this VM knows all rows as of the reading of a table, by this
  // or another VM.
  void ConfirmCurrent(TableReader& reader, const TableState& reading);
  // Endpoints whose rows expired while the table was not read, or could not be,
  // get the grace period from now on.
  void RestartEndpointGrace();
  bool Apply(TableReader& reader, const platform_adapter::StoreRow& row);
  // Each returns true when the row changed the context.
  bool ApplyOperatorRow(const platform_adapter::StoreRow& row);
  bool ApplyConfiguration(const platform_adapter::StoreRow& row);
  bool ApplyEndpoint(const platform_adapter::StoreRow& row);
  // Keeps an endpoint whose row is gone in use for kExpiredEndpointGrace.
  // Returns false when that is known already.
  bool ExpireEndpoint(const std::string& id);
  void BeginDeparture(const std::string& id, std::string_view state);
  // Handles rows that a full read of the table did not return. Returns true
  // when this VM knew one of them.
  bool ExpireMissingRows(const TableReader& reader);
  static void LogEvacuation(const std::string& data_centre, bool is_evacuated,
                            std::uint64_t version);
  bool RemoveExpiredEndpoints();
  // Moves an endpoint to those that are not registered any more.
  void Unregister(const std::string& id);
  // True when an endpoint with this address is registered.
  bool HasRegistered(const std::string& address) const;
  // Drops endpoints that have been unregistered for long.
  void ForgetUnregisteredEndpoints(kernel::Instant now);

  bool IsFleetDue(kernel::Instant now) const;
  void PollFleet(kernel::Instant now);
  void ReadFleetPage(const std::string& after);
  void OnFleetPage(const transport::HttpAnswer& answer, kernel::Instant sent);
  void OnFleetRead(kernel::Instant sent);
  // Returns true when the row changed a primary.
  bool ApplyPrimary(const platform_adapter::StoreRow& row,
                    kernel::Instant sent);
  // Takes endpoints over that this VM never saw registered. Returns true when
  // there was one.
  bool ApplyMembers(const platform_adapter::StoreRow& row);
  // Forgets rows of primaries that a reading of the fleet table did not return.
  void ForgetMissingPrimaries();
  VmRow OwnRow() const;
  void RegisterVm();
  void SendNextWrite();
  // True when a write depends on versions that the store no longer has.
  bool IsOutdated(const PendingWrite& write) const;
  void FinishWrite(const WriteOutcome& outcome);

  ProxyContext& context;
  const Observers observers;
  TableReader operator_rows;
  TableReader endpoint_rows;
  RelaySources relay_sources;
  transport::HttpResponder relay_responder;
  transport::HttpChannel fleet_channel;
  transport::HttpChannel write_channel;
  transport::HttpChannel single_read_channel;
  std::deque<PendingWrite> writes;
  bool is_fleet_due = true;
  bool is_leader = false;
  kernel::Instant fleet_called_at;
  kernel::Instant fleet_read_sent;
  // The store's era when the fleet table was last called, and when it was last
  // read in full.
  std::optional<std::uint64_t> fleet_called_era;
  std::optional<std::uint64_t> fleet_read_era;
  // The store's version at the first page of the fleet table.
  std::uint64_t fleet_version = 0;
  // Empty before the first response.
  std::optional<std::uint64_t> era;
  // When the operators and the databases have written again what a restored
  // store lacks; zero when that is long past.
  kernel::Instant settles_at;
  std::int64_t store_clock_ms = 0;
  kernel::Instant store_clock_sent;
  std::map<std::string, VmRow> vms;
  // VMs on the pages of the fleet table that were read so far.
  std::map<std::string, VmRow> loaded_vms;
  std::map<std::string, MembersRow> members;
  // Rows of members on those pages.
  std::map<std::string, MembersRow> loaded_members;
  // Services whose primary is on those pages.
  std::set<std::string> loaded_primaries;
  // When all endpoints were last known to be current, and since when that has
  // been so without a gap; zero before the first reading.
  kernel::Instant endpoints_current_as_of;
  kernel::Instant endpoints_current_since;
  // Endpoints whose row was removed, and since when. They stay in use until
  // kExpiredEndpointGrace has passed.
  std::map<std::string, kernel::Instant> expired_endpoints;
  // When each draining endpoint announced that it leaves, as read by this VM.
  std::map<std::string, kernel::Instant> draining_since;
  // Keys of rows that describe no usable endpoint, as logged.
  std::set<std::string> ignored_endpoints;
  std::map<std::string, std::uint64_t> primary_versions;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
