#include "programs/laburnumkeel-ctl/commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

#include "programs/laburnumkeel-admin/admin_api.h"
#include "programs/laburnumkeel-ctl/event_catalogue.h"
#include "tests/admin/fake_control.h"
#include "tests/support/fixed_response_server.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::ctl {
namespace {

struct NoPause {
  void operator()() const {}
};

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(AppliesDocument);
  CPPUNIT_TEST(RefusesFaultyDocument);
  CPPUNIT_TEST(RunsEditCommands);
  CPPUNIT_TEST(ShowsRefusals);
  CPPUNIT_TEST(EventNumbersAreUnique);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->control.store.Propose(testing::SampleConfiguration(), 0, "first");
    for (const admin::AdminRoute& route : this->api.Routes()) {
      this->server.AddRoute(route.method, route.path, route.handler);
    }
    CPPUNIT_ASSERT(this->server.Start());
  }

  void tearDown() override { std::remove(kPath); }

  // Guards against a document that is altered in transfer, and against applying
  // one without printing the difference.
  void AppliesDocument() {
    model::Configuration document = testing::SampleConfiguration();
    document.fleet_size = 9;
    this->Write(document);
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Validate(kPath));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Diff(kPath));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode,
                         this->commands.Apply(kPath, std::nullopt));
    CPPUNIT_ASSERT(this->output.str().find("~ fleet_size = 8 -> 9") !=
                   std::string::npos);
    document.version = 2;
    CPPUNIT_ASSERT(this->control.store.Read().value() == document);
    CPPUNIT_ASSERT_EQUAL(kRefusedCode, this->commands.Apply(kPath, 1));
    // The document is based on the version before the change.
    document.version = 1;
    this->Write(document);
    CPPUNIT_ASSERT_EQUAL(kRefusedCode,
                         this->commands.Apply(kPath, std::nullopt));
    CPPUNIT_ASSERT(this->errors.str().find("current version is 2") !=
                   std::string::npos);
  }

  // Guards against a fault that is detected only after sending.
  void RefusesFaultyDocument() {
    model::Configuration document = testing::SampleConfiguration();
    document.client_accounts[0].burst = 0;
    this->Write(document);
    CPPUNIT_ASSERT_EQUAL(kRefusedCode,
                         this->commands.Apply(kPath, std::nullopt));
    CPPUNIT_ASSERT(this->errors.str().find("client_accounts[0].burst") !=
                   std::string::npos);
  }

  // Guards against commands that call a wrong route.
  void RunsEditCommands() {
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Grant("small"));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode,
                         this->commands.SetDataCentre("dc2", "out"));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.SetEndpoint(
                                           "ledger", "g1", "g1-dc1", "out"));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode,
                         this->commands.SetAccount("small", 60, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Show());
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Fleet());
    const model::Configuration current = this->control.store.Read().value();
    const std::string id = current.client_accounts[1].keys.at(0).id;
    CPPUNIT_ASSERT_EQUAL(60.0, current.client_accounts[1].rate);
    CPPUNIT_ASSERT_EQUAL(kSuccessCode, this->commands.Revoke("small", id));
    CPPUNIT_ASSERT_EQUAL(std::string(), this->errors.str());
  }

  // Guards against a refusal with exit code 0 or without a message.
  void ShowsRefusals() {
    CPPUNIT_ASSERT_EQUAL(kRefusedCode, this->commands.Revoke("small", "none"));
    CPPUNIT_ASSERT(this->errors.str().find("not_found") != std::string::npos);
    AdminClient unauthorized_client(this->address, "wrong");
    Commands unauthorized_commands(unauthorized_client, this->output,
                                   this->errors);
    CPPUNIT_ASSERT_EQUAL(kRefusedCode, unauthorized_commands.Show());
    CPPUNIT_ASSERT(this->errors.str().find("unauthorized") !=
                   std::string::npos);
  }

  // Guards against two events that share a number or a name.
  void EventNumbersAreUnique() {
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const EventGroup& group : AllEvents()) {
      for (const kernel::EventDefinition& event : group.events) {
        CPPUNIT_ASSERT(numbers.insert(event.number).second);
        CPPUNIT_ASSERT(names.insert(event.name).second);
      }
    }
  }

 private:
  static constexpr const char* kPath = "commands_test_configuration.json";

  void Write(const model::Configuration& configuration) {
    std::ofstream(kPath) << model::Encode(configuration);
  }

  testing::FakeControl control;
  admin::AdminApi<testing::FakeControl, NoPause> api{this->control, NoPause{},
                                                     "administrator-secret"};
  const std::string address = testing::FreeAddress();
  transport::HttpServer server{this->address, transport::ServerLimits{}};
  AdminClient client{this->address, "administrator-secret"};
  std::ostringstream output;
  std::ostringstream errors;
  Commands commands{this->client, this->output, this->errors};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

}  // namespace
}  // namespace laburnumkeel::ctl
