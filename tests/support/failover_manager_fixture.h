#ifndef LABURNUMKEEL_TESTS_SUPPORT_FAILOVER_MANAGER_FIXTURE_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FAILOVER_MANAGER_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumkeel/transport/http_responder.h"
#include "programs/laburnumkeel-proxy/failover_manager.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/endpoint_entry.h"
#include "tests/support/fake_database.h"
#include "tests/support/fake_store.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::testing {

// A VM that may lead a fleet with one service: the store, the platform's
// promotion call, a primary `p` and two replicas `q` and `r` on loopback, and a
// paused clock.
class FailoverManagerFixture : public CppUnit::TestFixture {
 public:
  using milliseconds = std::chrono::milliseconds;

  void setUp() override {
    platform_adapter::ProxySettings settings;
    settings.vm = "vm";
    settings.data_centre = "dc";
    settings.region = "region";
    settings.regions = {{"dc", "region"}};
    settings.processor_share = 0.25;
    this->context = std::make_unique<proxy::ProxyContext>(settings);
    this->context->clock.Pause();
    this->store = std::make_unique<FakeStore>(this->context->loop);
    this->context->settings.store_address = this->store->Address();
    this->context->settings.promotion_address = FreeAddress();
    this->platform = std::make_unique<transport::HttpResponder>(
        this->context->loop, [this](const transport::HttpCall& call) {
          this->promotion_calls.push_back(
              nlohmann::json::parse(call.body).at("id").get<std::string>());
          return transport::HttpAnswer{transport::HttpAnswer::kOk, "{}"};
        });
    this->platform->Listen(this->context->settings.promotion_address);
    auto configuration = std::make_shared<model::ProxyConfiguration>();
    configuration->services["s"] = {"s", 20, 0};
    this->context->configuration = configuration;
    this->StartProcess();
    for (const char* id : {"p", "q", "r"}) {
      this->AddEndpoint(id);
    }
    this->members["p"].is_primary = true;
    this->PutEndpoint("p");
  }

  void tearDown() override {
    this->manager.reset();
    this->leadership.reset();
    this->link.reset();
    this->pool.reset();
    this->databases.clear();
    this->platform.reset();
    this->store.reset();
    this->context.reset();
  }

 protected:
  // What an endpoint says of itself.
  struct Member {
    bool is_primary = false;
    int term = 1;
    std::string received = "1.5";
    int paused_term = 0;
    bool do_orders_fail = false;
    bool is_busy = false;
  };

  // The process of this VM starts, or starts again: it knows nothing.
  void StartProcess() {
    this->manager.reset();
    this->leadership.reset();
    this->link.reset();
    this->pool.reset();
    this->context->endpoints.clear();
    this->context->unregistered_endpoints.clear();
    this->context->primaries = routing::PrimaryTable();
    this->pool = std::make_unique<proxy::ServicePool>(*this->context, "s");
    this->link = std::make_unique<proxy::StoreLink>(
        *this->context,
        proxy::StoreLink::Observers{
            [this] { this->pool->OnDirectoryChanged(); },
            [this](const promotion::LeaderRecord* record, std::uint64_t version,
                   std::int64_t store_now_ms) {
              this->leadership->OnLeaderRow(record, version, store_now_ms);
            }});
    this->leadership = std::make_unique<proxy::Leadership>(
        *this->context, *this->link, [this] { ++this->releases; });
    this->manager = std::make_unique<proxy::FailoverManager>(
        *this->context, *this->link, *this->leadership,
        [this](const std::string&) -> proxy::ServicePool& {
          return *this->pool;
        },
        [] {});
    this->leadership->SetHandoverSource(
        [] { return proxy::Leadership::Handover(); });
  }

  // An endpoint starts and registers.
  void AddEndpoint(const std::string& id) {
    auto& database = this->databases[id];
    database = std::make_unique<FakeDatabase>(this->context->loop);
    database->SetScript([this, id](std::string_view line) {
      return this->Respond(this->members[id], line);
    });
    this->PutEndpoint(id);
  }

  void PutEndpoint(const std::string& id, const std::string& state = "ready") {
    nlohmann::json entry = EndpointEntry(this->databases.at(id)->Address());
    entry["state"] = state;
    entry["database_role"] =
        this->members[id].is_primary ? "primary" : "replica";
    this->store->Put("servers", id, entry);
  }

  void Poll() {
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(10));
  }

  void ReadFleet() {
    this->link->ReadFleetSoon();
    this->link->Tick(this->context->clock.Now(), false);
    this->Poll();
  }

  void Step() {
    this->leadership->Tick(this->context->clock.Now());
    this->manager->Tick(this->context->clock.Now());
    this->Poll();
    this->context->clock.Advance(milliseconds(100));
  }

  // Advances the clock while the VM reads the store and leads.
  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration;
         passed += milliseconds(100)) {
      this->link->Tick(this->context->clock.Now(),
                       this->leadership->IsLeader());
      this->pool->Tick(this->context->clock.Now());
      this->Poll();
      this->Step();
    }
  }

  void BecomeLeader() {
    for (int step = 0; step < 20; ++step) {
      this->ReadFleet();
      this->Step();
    }
    CPPUNIT_ASSERT(this->leadership->IsLeader());
  }

  // This VM leads, and has watched the service under its primary for a while.
  void StartService(const std::string& primary = "p", int term = 1) {
    this->store->Put(
        std::string(proxy::kFleetTable), "primary/s",
        {{"endpoint", primary}, {"term", term}, {"changing", false}});
    this->BecomeLeader();
    this->Run(milliseconds(3500));
  }

  // Number of orders that all endpoints have received.
  int Orders() const {
    int orders = 0;
    for (const auto& [id, database] : this->databases) {
      orders += database->Count("PAUSE") + database->Count("STEPDOWN") +
                database->Count("RESUME");
    }
    return orders;
  }

  std::string PublishedHolder() {
    const auto record = proxy::DecodeLeader(this->store->Value(
        std::string(proxy::kFleetTable), std::string(proxy::kLeaderKey)));
    return record ? record->holder : "";
  }

  // The published primary; empty without one.
  std::string PublishedPrimary() {
    const auto record = this->PublishedRecord();
    return record ? record->endpoint_id : "";
  }

  std::optional<routing::PrimaryRecord> PublishedRecord() {
    return proxy::DecodePrimary(
        "s", 1,
        this->store->Value(std::string(proxy::kFleetTable), "primary/s"));
  }

  std::unique_ptr<proxy::ProxyContext> context;
  std::unique_ptr<FakeStore> store;
  std::unique_ptr<transport::HttpResponder> platform;
  // Endpoints that the platform was asked to promote.
  std::vector<std::string> promotion_calls;
  std::map<std::string, std::unique_ptr<FakeDatabase>> databases;
  std::map<std::string, Member> members;
  std::unique_ptr<proxy::ServicePool> pool;
  std::unique_ptr<proxy::StoreLink> link;
  std::unique_ptr<proxy::Leadership> leadership;
  std::unique_ptr<proxy::FailoverManager> manager;
  int releases = 0;

 private:
  // Carries out an order, and describes the endpoint.
  static std::string Respond(Member& member, std::string_view line) {
    if (member.is_busy) {
      return "ERROR BUSY full\r\nREADY I " + member.received + "\r\n";
    }
    const auto term_after = [&](std::string_view word) {
      const std::size_t found = line.find(word);
      return found == std::string_view::npos
                 ? 0
                 : std::stoi(std::string(line.substr(found + word.size())));
    };
    const int paused_term = term_after("PAUSE ");
    const int step_down_term = term_after("STEPDOWN ");
    if (!member.do_orders_fail) {
      if (!member.is_primary && paused_term > member.term) {
        member.paused_term = paused_term;
      }
      member.is_primary &= step_down_term <= member.term;
      if (line.find("RESUME") != std::string_view::npos) {
        member.paused_term = 0;
      }
    }
    return std::string("DATAROW ") +
           (member.is_primary ? "primary " : "replica ") +
           std::to_string(member.term) + " " + member.received + " " +
           std::to_string(member.paused_term) +
           " 0 0 1\r\nCOMPLETE -\r\nREADY I " + member.received + "\r\n";
  }
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FAILOVER_MANAGER_FIXTURE_H_
