#ifndef LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/transport/http_channel.h"
#include "platform/store_codec.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// This process's only client of the platform's store. It keeps the context's
// configuration, endpoints, evacuated data centres, primaries and VM count up
// to date, and writes rows under conditions.
class StoreLink {
 public:
  struct Observers {
    // The configuration, the endpoints or an evacuation changed.
    std::function<void()> on_change;
    // The row of the leader lease as read, or null when there is none.
    std::function<void(const promotion::LeaderRecord* record,
                       std::uint64_t version, std::int64_t store_now_ms)>
        on_leader;
  };

  // The outcome of a write. On success `version` is that of all rows written.
  struct WriteOutcome {
    enum class Kind { kDone, kConflict, kUnknown } kind = Kind::kUnknown;
    std::uint64_t version = 0;
  };

  // What is known of a table: the newest version at which one of its rows
  // changed, as of an instant.
  struct TableState {
    std::uint64_t version = 0;
    kernel::Instant read_at;
  };

  StoreLink(ProxyContext& context, Observers observers);

  // Starts the calls that are due. With `is_leader` the tables are followed
  // closely on behalf of the other VMs; otherwise they are read when another
  // VM reports a change, or when nobody has for a while.
  void Tick(kernel::Instant now, bool is_leader);

  // Another VM has read the tables.
  void OnHint(const TableState& operator_state,
              const TableState& endpoint_state);

  const TableState& OperatorRows() const { return this->operator_rows.state; }
  const TableState& EndpointRows() const { return this->endpoint_rows.state; }

  // Reads the fleet's rows at the next tick.
  void ReadFleetSoon() { this->is_fleet_due = true; }

  // True when the fleet's rows were read by a call sent after `instant`.
  bool HasReadFleetSince(kernel::Instant instant) const {
    return this->fleet_read_sent > instant;
  }

  // The store's clock now, or a little later; 0 before the first answer.
  std::int64_t StoreNowMs(kernel::Instant now) const;

  // When a call of the store was last answered.
  kernel::Instant LastReadAt() const {
    return std::max({this->operator_rows.state.read_at,
                     this->endpoint_rows.state.read_at, this->fleet_read_sent});
  }

  const std::set<std::string>& VmNames() const { return this->vm_names; }

  // Tells the observers that primaries changed.
  void NotifyChange() { this->observers.on_change(); }

  // Writes rows of the fleet's table, one call after the other.
  void Write(const std::vector<platform_adapter::RowExpectation>& expectations,
             const std::vector<platform_adapter::RowWrite>& new_writes,
             std::function<void(const WriteOutcome&)> handler);

  // True when configuration and endpoints have been read once.
  bool IsComplete() const;

  // Version of the row of a service's primary; 0 without one.
  std::uint64_t PrimaryVersion(const std::string& service) const;

  // A write of this process put the row at that version.
  void OnPrimaryWritten(const std::string& service, std::uint64_t version);

 private:
  // Follows one table: reads it in full, then what changed since.
  struct Follower {
    std::string table;
    // Without a reading for this long, the table is read.
    kernel::Duration maximum_age;
    // Between readings that other VMs' changes cause, so that changes in quick
    // succession are read together.
    std::chrono::milliseconds hint_pause;
    // While this VM is the leader: pause between calls, and how long the store
    // holds a call without changes.
    std::chrono::milliseconds leader_pause;
    std::chrono::milliseconds leader_wait;
    std::unique_ptr<transport::HttpChannel> channel;
    kernel::Instant retry_at;
    kernel::Instant called_at;
    std::chrono::milliseconds wait{0};
    TableState state;
    TableState hint;
    bool is_loaded = false;
    std::uint64_t version = 0;
    // Keys seen while reading in full.
    std::vector<std::string> loading;
    std::string load_from;
    bool is_lost = false;
  };

  struct PendingWrite {
    std::string body;
    std::function<void(const WriteOutcome&)> handler;
  };

  bool IsDue(const Follower& follower, kernel::Instant now) const;
  void Follow(Follower& follower, kernel::Instant now);
  void OnFollowed(Follower& follower, const transport::HttpAnswer& answer);
  bool Apply(Follower& follower, const platform_adapter::StoreRow& row);
  // Each returns true when the row says something new.
  bool ApplyOperatorRow(const platform_adapter::StoreRow& row);
  bool ApplyConfiguration(const platform_adapter::StoreRow& row);
  bool ApplyEndpoint(const platform_adapter::StoreRow& row);
  void DropUnseen(const Follower& follower);
  bool DropLapsedEndpoints();

  bool IsFleetDue(kernel::Instant now) const;
  void PollFleet(kernel::Instant now);
  void OnFleet(const transport::HttpAnswer& answer, kernel::Instant sent);
  void RegisterVm();
  void SendNextWrite();

  ProxyContext& context;
  const Observers observers;
  Follower operator_rows;
  Follower endpoint_rows;
  transport::HttpChannel fleet_channel;
  transport::HttpChannel write_channel;
  std::deque<PendingWrite> writes;
  bool is_registered = false;
  bool is_fleet_due = true;
  bool is_leader = false;
  kernel::Instant fleet_called_at;
  kernel::Instant fleet_read_sent;
  std::int64_t store_clock_ms = 0;
  kernel::Instant store_clock_sent;
  std::set<std::string> vm_names;
  // Endpoints whose entry is gone, and since when.
  std::map<std::string, kernel::Instant> lapsed;
  std::map<std::string, std::uint64_t> primary_versions;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
