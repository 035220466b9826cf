#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/platform/object_store_client.h"
#include "laburnumkeel/platform/table_client.h"
#include "laburnumkeel/platform/vm_list_client.h"
#include "tests/support/fixed_response_server.h"

namespace laburnumkeel::platform {
namespace {

using testing::FixedResponseServer;
using transport::HttpResponse;

constexpr std::chrono::milliseconds kTimeout(500);

class PlatformClientsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientsTest);
  CPPUNIT_TEST(ReadsRow);
  CPPUNIT_TEST(AbsentRowIsVersionZero);
  CPPUNIT_TEST(CommitsTransaction);
  CPPUNIT_TEST(UnreadableCommitResponseIsUnknown);
  CPPUNIT_TEST(RefusedConnectionIsUnavailable);
  CPPUNIT_TEST(ReadsAndWritesObjects);
  CPPUNIT_TEST(ReadsVmList);
  CPPUNIT_TEST(RefusesUnknownVmState);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a key that is altered in the request path, and against
  // requests without the origin header.
  void ReadsRow() {
    FixedResponseServer platform(HttpResponse{
        200,
        {},
        R"({"key":"a/b","version":3,"value":"v","operation_id":"o"})"});
    TableClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto row = client.Read("a/b");
    CPPUNIT_ASSERT(row.has_value());
    CPPUNIT_ASSERT(row.value() == (TableRow{"a/b", 3, "v", "o"}));
    const auto requests = platform.Requests();
    CPPUNIT_ASSERT_EQUAL(std::string("/table/rows/a/b"), requests[0].target);
    CPPUNIT_ASSERT_EQUAL(std::string("vm1/dc1"),
                         requests[0].Header("Laburnumkeel-Origin"));
  }

  // Guards against reporting an absent row as an error.
  void AbsentRowIsVersionZero() {
    FixedResponseServer platform(HttpResponse{404, {}, ""});
    TableClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto row = client.Read("k");
    CPPUNIT_ASSERT(row.has_value());
    CPPUNIT_ASSERT(row.value() == (TableRow{"k", 0, "", ""}));
  }

  // Guards against fields missing from the encoded request or the decoded
  // response.
  void CommitsTransaction() {
    FixedResponseServer platform(HttpResponse{
        200,
        {},
        R"({"committed":true,"rows":[)"
        R"({"key":"k","version":2,"value":"w","operation_id":"o"}]})"});
    TableClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto result = client.Commit({"o", {{"k", 1}}, {{"k", "w"}}});
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(result.value() ==
                   (TransactionResult{true, {TableRow{"k", 2, "w", "o"}}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"conditions":[{"key":"k","version":1}],)"
                    R"("operation_id":"o",)"
                    R"("writes":[{"key":"k","value":"w"}]})"),
        platform.Requests()[0].body);
  }

  // Guards against reporting a transaction that took effect as failed.
  void UnreadableCommitResponseIsUnknown() {
    for (const HttpResponse& response :
         {HttpResponse{200, {}, "{"}, HttpResponse{500, {}, ""},
          HttpResponse{200, {}, R"({"committed":true})"}}) {
      FixedResponseServer platform(response);
      TableClient client(platform.Address(), "vm1/dc1", kTimeout);
      const auto result = client.Commit({"o", {{"k", 1}}, {{"k", "w"}}});
      CPPUNIT_ASSERT(!result.has_value());
      CPPUNIT_ASSERT(result.error().failure == PlatformFailure::kUnknown);
    }
  }

  // Guards against a definite failure that is reported as unknown.
  void RefusedConnectionIsUnavailable() {
    TableClient client(testing::FreeAddress(), "vm1/dc1", kTimeout);
    const auto result = client.Commit({"o", {{"k", 1}}, {{"k", "w"}}});
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(result.error().failure == PlatformFailure::kUnavailable);
  }

  // Guards against content that is altered in transfer.
  void ReadsAndWritesObjects() {
    FixedResponseServer platform(HttpResponse{200, {}, "content"});
    ObjectStoreClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto content = client.Get("name with space");
    CPPUNIT_ASSERT(content.has_value());
    CPPUNIT_ASSERT(content.value() == "content");
    CPPUNIT_ASSERT(client.Put("n", "new content").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("new content"),
                         platform.Requests()[1].body);
  }

  // Guards against confusing the fields of a VM.
  void ReadsVmList() {
    FixedResponseServer platform(HttpResponse{
        200,
        {},
        R"([{"name":"vm1","data_centre":"dc1","control_address":"127.0.0.1:1",)"
        R"("entry_address":"127.0.0.1:2","state":"departing"}])"});
    VmListClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto list = client.List();
    CPPUNIT_ASSERT(list.has_value());
    const std::vector<ListedVm> expected{ListedVm{
        "vm1", "dc1", "127.0.0.1:1", "127.0.0.1:2", ListedState::kDeparting}};
    CPPUNIT_ASSERT(list.value() == expected);
  }

  // Guards against treating an unknown state as live.
  void RefusesUnknownVmState() {
    FixedResponseServer platform(HttpResponse{
        200,
        {},
        R"([{"name":"vm1","data_centre":"dc1","control_address":"127.0.0.1:1",)"
        R"("entry_address":"127.0.0.1:2","state":"stopped"}])"});
    VmListClient client(platform.Address(), "vm1/dc1", kTimeout);
    const auto list = client.List();
    CPPUNIT_ASSERT(!list.has_value());
    CPPUNIT_ASSERT(list.error().failure == PlatformFailure::kInvalidResponse);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientsTest);

}  // namespace
}  // namespace laburnumkeel::platform
