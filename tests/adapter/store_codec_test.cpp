#include "platform/store_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "laburnumkeel/model/store_version.h"
#include "tests/support/endpoint_entry.h"

namespace laburnumkeel::platform_adapter {
namespace {

class StoreCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreCodecTest);
  CPPUNIT_TEST(DecodesRows);
  CPPUNIT_TEST(RejectsMalformedRows);
  CPPUNIT_TEST(UnreadableEraIsNone);
  CPPUNIT_TEST(EncodesAConditionalWrite);
  CPPUNIT_TEST(DecodesAConfiguration);
  CPPUNIT_TEST(UnknownConsistencyIsTheStrictest);
  CPPUNIT_TEST(RejectsRowsThatAreNotEndpoints);
  CPPUNIT_TEST(RestartedEndpointDiffers);
  CPPUNIT_TEST(EntryWithOneUnusableFieldIsNoEndpoint);
  CPPUNIT_TEST(DeeplyNestedEntryIsNoEndpoint);
  CPPUNIT_TEST(RowWithoutAKeyHidesNoOther);
  CPPUNIT_TEST(ConfigurationWithANumberOutOfRangeIsRejected);
  CPPUNIT_TEST(KeyOfTheLastRowIsEncoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesRows() {
    const auto rows = DecodeRows(
        R"({"rows":[{"table":"my","part":"","key":"owner","value":"bm9kZS0x",)"
        R"("row_version":412},{"key":"old","removed":true,"row_version":413}],)"
        R"("has_more":true,"row_version":530,"current_time_ms":51230})",
        2);
    CPPUNIT_ASSERT(rows.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), rows->rows.at(0).value);
    CPPUNIT_ASSERT_EQUAL(model::StoreVersion(2, 412), rows->rows.at(0).version);
    CPPUNIT_ASSERT(rows->rows.at(1).is_removed);
    CPPUNIT_ASSERT(rows->has_more);
    CPPUNIT_ASSERT_EQUAL(model::StoreVersion(2, 530), rows->store_version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{51230}, rows->store_now_ms);
  }

  // Guards against treating an unreadable response as an empty table.
  void RejectsMalformedRows() {
    for (const char* body :
         {"", "[", R"({"rows":[{"value":1}]})", R"({"rows":5})"}) {
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeRows(body, 1));
    }
  }

  // Guards against a table that is read again and again, because no version is
  // of the era that one damaged header named.
  void UnreadableEraIsNone() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, DecodeEra("7"));
    for (const char* value :
         {"", "x", "-1", "8388608", "99999999999999999999"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::uint64_t{0}, DecodeEra(value));
    }
  }

  void EncodesAConditionalWrite() {
    const auto body = nlohmann::json::parse(EncodeTransaction(
        {{"t", "k", model::StoreVersion(2, 7)}}, {{"t", "k", "node-1"}}));
    CPPUNIT_ASSERT_EQUAL(7, body["expect"][0]["row_version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"),
                         body["upserts"][0]["value"].get<std::string>());
    CPPUNIT_ASSERT(body["remove"].empty());
  }

  void DecodesAConfiguration() {
    const auto configuration = DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"xapu","kind":)"
        R"("bounded_staleness","timeout_ms":2000,"target_latency_ms":800,)"
        R"("priority":2,"service":"huvo","max_staleness_ms":1500,)"
        R"("public":false,"allowed_regions":["maan"]}],"services":[{"name":)"
        R"("huvo","max_connections":21}],"limits":{"transaction_idle_ms":3000},)"
        R"("tenants":[{"name":"nypu","api_keys":["a","b"],"rate_per_s":121,)"
        R"("burst":12,"allowed_regions":[]}]})");
    CPPUNIT_ASSERT(configuration.has_value());
    const model::DatabaseRoute& route = configuration->routes.at("xapu");
    CPPUNIT_ASSERT(route.consistency ==
                   model::ReadConsistency::kBoundedStaleness);
    CPPUNIT_ASSERT(route.max_staleness == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("nypu"),
                         configuration->account_of_key.at("b"));
    CPPUNIT_ASSERT_EQUAL(12.0, configuration->accounts.at("nypu").burst);
    CPPUNIT_ASSERT_EQUAL(21,
                         configuration->services.at("huvo").max_connections);
  }

  // Guards against stale reads on a route whose kind is unknown to this
  // version.
  void UnknownConsistencyIsTheStrictest() {
    const auto configuration = DecodeConfiguration(
        R"({"version":1,"routes":[{"host":"a","service":"s","kind":"new"}]})");
    CPPUNIT_ASSERT(configuration->routes.at("a").consistency ==
                   model::ReadConsistency::kPrimary);
  }

  // Guards against sending statements to an address that is not a database.
  void RejectsRowsThatAreNotEndpoints() {
    for (const char* value :
         {"", "{}", R"({"service":"s","address":5,"zone":"z"})",
          R"({"service":"s","address":"10.0.0.1:1","zone":"z",)"
          R"("state":"gone","database_role":"replica"})",
          R"({"service":"s","address":"10.0.0.1:1","zone":"z",)"
          R"("state":"ready","database_role":"leader"})"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !DecodeEndpoint("i-1", value));
    }
  }

  void RestartedEndpointDiffers() {
    const std::string common =
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",)"
        R"("version":"v1","slots":3,"cold_remaining_ms":0,)"
        R"("database_role":"replica","sequence":4,"born":)";
    const auto before = DecodeEndpoint("i-1", common + "1000}");
    const auto after = DecodeEndpoint("i-1", common + "2000}");
    CPPUNIT_ASSERT(before && after && !(*before == *after));
  }

  // Guards against an entry of another writer that is used as an endpoint, and
  // against numbers that change when they are converted.
  void EntryWithOneUnusableFieldIsNoEndpoint() {
    const nlohmann::json usable = testing::EndpointEntry("10.0.0.1:1");
    CPPUNIT_ASSERT(DecodeEndpoint("i-1", usable.dump()));
    for (const auto& [name, value] : usable.items()) {
      nlohmann::json entry = usable;
      entry.erase(name);
      CPPUNIT_ASSERT_MESSAGE(name, !DecodeEndpoint("i-1", entry.dump()));
      entry[name] = nlohmann::json::array({value});
      CPPUNIT_ASSERT_MESSAGE(name, !DecodeEndpoint("i-1", entry.dump()));
    }
    const auto rejects = [&](const char* name, const nlohmann::json& value) {
      nlohmann::json entry = usable;
      entry[name] = value;
      CPPUNIT_ASSERT_MESSAGE(entry.dump(),
                             !DecodeEndpoint("i-1", entry.dump()));
    };
    for (const char* name : {"slots", "cold_remaining_ms", "born"}) {
      rejects(name, 1e300);
      rejects(name, 18446744073709551615U);
      rejects(name, 0.5);
    }
    rejects("slots", 2147483648U);
    rejects("slots", -1);
    for (const char* address : {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
                                "10.0.0.1", "host:1", "10.0.0.1:99999999999"}) {
      rejects("address", address);
    }
    // Larger than any number that the parser can hold.
    std::string text = usable.dump();
    text.replace(text.find("\"slots\":3"), 9, "\"slots\":1e999");
    CPPUNIT_ASSERT(!DecodeEndpoint("i-1", text));
  }

  // Guards against a process that ends when it reads or frees the entry. As
  // deep as the largest row allows.
  void DeeplyNestedEntryIsNoEndpoint() {
    constexpr std::size_t kMaximumRowBytes = 65536;
    const std::size_t depth = kMaximumRowBytes / 2 - 100;
    nlohmann::json entry = testing::EndpointEntry("10.0.0.1:1");
    entry["version"] = "nested";
    std::string text = entry.dump();
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    text.replace(text.find("\"nested\""), 8, nested);
    CPPUNIT_ASSERT(!DecodeEndpoint("i-1", text));
    CPPUNIT_ASSERT(!DecodeEndpoint("i-1", nested));
    CPPUNIT_ASSERT(!DecodeEndpoint("i-1", std::string(depth, '{')));
    CPPUNIT_ASSERT(!DecodeConfiguration(nested));
  }

  // Guards against one row that blinds all who read the table.
  void RowWithoutAKeyHidesNoOther() {
    const auto rows = DecodeRows(
        R"({"rows":[{"key":"a","value":"eA==","row_version":1},{"value":"eA=="},)"
        R"({"key":7},{"key":"b","row_version":"x"},5,)"
        R"({"key":"c","value":"eA==","row_version":2}],"row_version":3})",
        1);
    CPPUNIT_ASSERT(rows.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows->rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), rows->rows[1].key);
  }

  void ConfigurationWithANumberOutOfRangeIsRejected() {
    for (const char* value :
         {R"({"version":1e30})",
          R"({"version":1,"services":[{"name":"s","max_connections":1e12}]})",
          R"({"version":1,"tenants":[{"name":"t","rate_per_s":"5"}]})",
          R"({"version":1,"routes":[{"host":"a","service":"s",)"
          R"("timeout_ms":9999999999}]})"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !DecodeConfiguration(value));
    }
  }

  // Guards against a table that cannot be read past a page which ends with an
  // odd key.
  void KeyOfTheLastRowIsEncoded() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/-/rows-get?part=&table=t&from=a%20b%26%25%C3%A9/x%00"),
        RowsTarget("t", "a b&%\xC3\xA9/x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCodecTest);

}  // namespace
}  // namespace laburnumkeel::platform_adapter
