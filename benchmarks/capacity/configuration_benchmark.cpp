#include "benchmarks/capacity/configuration_benchmark.h"

#include <malloc.h>

#include <memory>
#include <string>

#include "benchmarks/capacity/series.h"
#include "benchmarks/capacity/thread_time.h"
#include "laburnumkeel/configuration/key_hash.h"
#include "laburnumkeel/configuration/key_index.h"
#include "laburnumkeel/model/configuration_codec.h"

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kBatches = 7;
constexpr int kEndpointsInGroup = 3;
constexpr int kDataCentres = 7;

std::string CentreName(int centre) { return "dc" + std::to_string(centre); }

std::string KeyText(int account) {
  return "account-" + std::to_string(account) +
         "-key.0123456789abcdef0123456789abcdef";
}

model::Configuration MakeConfiguration(int groups, int accounts) {
  model::Configuration configuration;
  configuration.version = 1;
  for (int centre = 0; centre < kDataCentres; ++centre) {
    configuration.data_centres.push_back(
        model::DataCentre{CentreName(centre), "region" + std::to_string(centre),
                          model::Availability::kIn});
  }
  model::Service service{"ledger", {}, 0};
  for (int group = 0; group < groups; ++group) {
    const std::string name = "g" + std::to_string(group);
    model::DatabaseGroup members{name, {}};
    for (int member = 0; member < kEndpointsInGroup; ++member) {
      const std::string centre = CentreName((group + member) % kDataCentres);
      members.endpoints.push_back(
          model::Endpoint{name + "-" + centre, "10.123.123.123:9000", centre,
                          20, 3, model::Availability::kIn});
    }
    service.groups.push_back(members);
  }
  configuration.services.push_back(service);
  for (int account = 0; account < accounts; ++account) {
    configuration.client_accounts.push_back(
        model::ClientAccount{"account-" + std::to_string(account),
                             "ledger",
                             100,
                             50,
                             {configuration::HashKey(KeyText(account))}});
  }
  return configuration;
}

// Heap memory in use, including blocks that malloc took with mmap.
double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void MeasureSize(int size, int groups, int accounts, Series& series) {
  const std::string text = Encode(MakeConfiguration(groups, accounts));
  series.Add("document, bytes", size, static_cast<double>(text.size()));
  series.Add("decode, us", size, MedianMicroseconds(kBatches, 1, [&] {
               Keep(model::DecodeConfiguration(text));
             }));
  const double before = HeapBytes();
  const auto copy = std::make_shared<const model::Configuration>(
      model::DecodeConfiguration(text).value());
  const configuration::KeyIndex index(copy);
  series.Add("copy with key index, bytes", size, HeapBytes() - before);
  const std::string key = KeyText(accounts / 2);
  constexpr int kCalls = 1000;
  series.Add("key look-up, us", size, MedianMicroseconds(kBatches, kCalls, [&] {
               Keep(index.FindAccount(key));
             }));
}

}  // namespace

void MeasureConfiguration() {
  Series groups("configuration with 64 client accounts",
                "groups of 3 endpoints");
  for (const int count : {3, 50, 200, 667}) {
    MeasureSize(count, count, 64, groups);
  }
  groups.Print();
  Series accounts("configuration with 3 groups", "client accounts");
  for (const int count : {8, 64, 512}) {
    MeasureSize(count, 3, count, accounts);
  }
  accounts.Print();
}

}  // namespace laburnumkeel::benchmarks
