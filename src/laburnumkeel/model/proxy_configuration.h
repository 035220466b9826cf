#ifndef LABURNUMKEEL_MODEL_PROXY_CONFIGURATION_H_
#define LABURNUMKEEL_MODEL_PROXY_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumkeel::model {

// Which commits must be visible to a read.
enum class ReadConsistency {
  // Every acknowledged commit is visible.
  kPrimary,
  // Commits of the last `max_staleness` may be missing.
  kBoundedStaleness,
  // As kBoundedStaleness, but commits of the same session are visible.
  kReadYourWrites,
};

// A database name that clients connect to.
struct DatabaseRoute {
  std::string database;
  std::string service;
  ReadConsistency consistency = ReadConsistency::kPrimary;
  std::chrono::milliseconds max_staleness{0};
  // Maximum duration of a single statement.
  std::chrono::milliseconds statement_timeout{1000};
  // Latency objective of a whole operation.
  std::chrono::milliseconds target_latency{1000};
  // 0 is the highest.
  int priority = 0;
  // No key is needed.
  bool is_public = false;
  // Empty: all.
  std::vector<std::string> allowed_regions;

  bool operator==(const DatabaseRoute&) const = default;
};

// A group of endpoints that hold the same data.
struct DatabaseService {
  std::string name;
  // Of each endpoint, over all VMs.
  int max_connections = 1;
  // Operations per second that a cold endpoint may receive; 0: no limit.
  double cold_operations_per_second = 0;

  bool operator==(const DatabaseService&) const = default;
};

struct ClientAccount {
  std::string name;
  double operations_per_second = 0;
  double burst = 0;
  // Empty: all.
  std::vector<std::string> allowed_regions;

  bool operator==(const ClientAccount&) const = default;
};

// One version of the operators' configuration, indexed for look-up.
struct ProxyConfiguration {
  std::int64_t version = 0;
  // By the name that clients use.
  std::map<std::string, DatabaseRoute> routes;
  std::map<std::string, DatabaseService> services;
  std::map<std::string, ClientAccount> accounts;
  // Name of the account that holds a key.
  std::map<std::string, std::string> account_of_key;
  // Time after which an idle transaction may be ended.
  std::chrono::milliseconds transaction_idle{3000};

  bool operator==(const ProxyConfiguration&) const = default;
};

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_PROXY_CONFIGURATION_H_
