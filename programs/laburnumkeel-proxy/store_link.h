#ifndef LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/promotion/duty_lease.h"
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
    // The duty row as read, or null when there is none.
    std::function<void(const promotion::DutyRecord* record,
                       std::uint64_t version)>
        on_duty;
  };

  // The outcome of a write. On success `version` is that of all rows written.
  struct WriteOutcome {
    enum class Kind { kDone, kConflict, kUnknown } kind = Kind::kUnknown;
    std::uint64_t version = 0;
  };

  StoreLink(ProxyContext& context, Observers observers);

  void Start();

  // Writes rows of the fleet's table, one call after the other.
  void Write(std::vector<platform_adapter::RowExpectation> expectations,
             std::vector<platform_adapter::RowWrite> writes,
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
    // How long the store holds a call without changes.
    std::chrono::milliseconds wait;
    // Pause between calls.
    std::chrono::milliseconds pause;
    std::unique_ptr<transport::HttpChannel> channel;
    std::unique_ptr<boost::asio::steady_timer> timer;
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

  void Follow(Follower& follower);
  void OnFollowed(Follower& follower, const transport::HttpAnswer& answer);
  void FollowLater(Follower& follower, std::chrono::milliseconds delay);
  void Apply(Follower& follower, const platform_adapter::StoreRow& row);
  void ApplyOperatorRow(const platform_adapter::StoreRow& row);
  void ApplyConfiguration(const platform_adapter::StoreRow& row);
  void ApplyEndpoint(const platform_adapter::StoreRow& row);
  void DropUnseen(const Follower& follower);
  void DropLapsedEndpoints();

  void PollFleet();
  void OnFleet(const transport::HttpAnswer& answer, kernel::Instant sent);
  void RegisterVm();
  void SendNextWrite();

  ProxyContext& context;
  const Observers observers;
  Follower operator_rows;
  Follower endpoint_rows;
  transport::HttpChannel fleet_channel;
  boost::asio::steady_timer fleet_timer;
  transport::HttpChannel write_channel;
  std::deque<PendingWrite> writes;
  bool is_registered = false;
  // Endpoints whose entry is gone, and since when.
  std::map<std::string, kernel::Instant> lapsed;
  std::map<std::string, std::uint64_t> primary_versions;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_STORE_LINK_H_
