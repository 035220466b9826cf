#include "laburnumkeel/configuration/validation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "laburnumkeel/configuration/address.h"

namespace laburnumkeel::configuration {

namespace {

constexpr std::size_t kMaximumNameLength = 64;
constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMinimumSaltDigits = 16;
constexpr std::size_t kMaximumSaltDigits = 128;
constexpr std::size_t kMinimumGroupSize = 3;
constexpr std::int64_t kMaximumCount = 1'000'000;
constexpr double kMaximumRate = 1e9;
constexpr std::int64_t kMaximumIsolatedSeconds = 86400;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
}

// Names are parts of URL paths, table keys and log lines.
bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaximumNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsHexadecimal(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

std::string IndexedPath(const std::string& path, const char* field,
                        std::size_t index) {
  return (path.empty() ? "" : path + ".") + field + "[" +
         std::to_string(index) + "]";
}

// Checks one configuration and collects its faults.
class Validator {
 public:
  explicit Validator(const model::Configuration& configuration)
      : configuration(configuration) {}

  std::vector<Fault> Run() {
    this->CheckRange("fleet_size", this->configuration.fleet_size, 1,
                     kMaximumCount);
    this->CheckDataCentres();
    const auto& services = this->configuration.services;
    for (std::size_t index = 0; index < services.size(); ++index) {
      this->CheckService(services[index], IndexedPath("", "services", index));
    }
    const auto& accounts = this->configuration.client_accounts;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
      this->CheckAccount(accounts[index],
                         IndexedPath("", "client_accounts", index));
    }
    return std::move(this->faults);
  }

 private:
  using Names = std::set<std::string>;

  void Add(std::string path, std::string value, std::string allowed) {
    this->faults.push_back(
        Fault{std::move(path), std::move(value), std::move(allowed)});
  }

  void CheckRange(const std::string& path, std::int64_t value,
                  std::int64_t minimum, std::int64_t maximum) {
    if (value < minimum || value > maximum) {
      this->Add(path, std::to_string(value),
                std::to_string(minimum) + " to " + std::to_string(maximum));
    }
  }

  void CheckName(const std::string& path, const std::string& name,
                 Names& taken) {
    if (!IsName(name)) {
      this->Add(path, name,
                "1 to 64 letters, digits, '.', '-' and '_' of ASCII");
    } else if (!taken.insert(name).second) {
      this->Add(path, name, "a name that occurs only once");
    }
  }

  void CheckDataCentres() {
    const auto& data_centres = this->configuration.data_centres;
    if (data_centres.empty()) {
      this->Add("data_centres", "0 entries", "at least 1 entry");
    }
    for (std::size_t index = 0; index < data_centres.size(); ++index) {
      const std::string path = IndexedPath("", "data_centres", index);
      this->CheckName(path + ".name", data_centres[index].name,
                      this->data_centre_names);
      Names unshared;
      this->CheckName(path + ".region", data_centres[index].region, unshared);
    }
  }

  void CheckService(const model::Service& service, const std::string& path) {
    this->CheckName(path + ".name", service.name, this->service_names);
    this->CheckRange(path + ".isolated_serving_seconds",
                     service.isolated_serving_seconds, 0,
                     kMaximumIsolatedSeconds);
    if (service.groups.empty()) {
      this->Add(path + ".groups", "0 entries", "at least 1 entry");
    }
    for (std::size_t index = 0; index < service.groups.size(); ++index) {
      this->CheckGroup(service.groups[index],
                       IndexedPath(path, "groups", index));
    }
  }

  void CheckGroup(const model::DatabaseGroup& group, const std::string& path) {
    this->CheckName(path + ".name", group.name, this->group_names);
    const std::size_t size = group.endpoints.size();
    if (size < kMinimumGroupSize || size % 2 == 0) {
      this->Add(path + ".endpoints", std::to_string(size) + " entries",
                "an odd number of at least 3 entries");
    }
    std::map<std::string, std::size_t> members;
    for (std::size_t index = 0; index < size; ++index) {
      this->CheckEndpoint(group.endpoints[index],
                          IndexedPath(path, "endpoints", index));
      ++members[group.endpoints[index].data_centre];
    }
    for (const auto& [data_centre, count] : members) {
      // The group must keep a majority when any one data centre fails.
      if (count * 2 > size) {
        this->Add(path + ".endpoints",
                  std::to_string(count) + " of " + std::to_string(size) +
                      " in data centre '" + data_centre + "'",
                  "less than half of the group in one data centre");
      }
    }
  }

  void CheckEndpoint(const model::Endpoint& endpoint, const std::string& path) {
    this->CheckName(path + ".name", endpoint.name, this->endpoint_names);
    if (!IsAddress(endpoint.address)) {
      this->Add(path + ".address", endpoint.address,
                "an IP address and a port from 1 to 65535, as 10.0.0.1:9000");
    } else if (!this->addresses.insert(endpoint.address).second) {
      this->Add(path + ".address", endpoint.address,
                "an address that occurs only once");
    }
    if (!this->data_centre_names.contains(endpoint.data_centre)) {
      this->Add(path + ".data_centre", endpoint.data_centre,
                "the name of an entry of data_centres");
    }
    // Each VM needs at least one connection to each endpoint.
    this->CheckRange(path + ".connections", endpoint.connections,
                     std::max<std::int64_t>(this->configuration.fleet_size, 1),
                     kMaximumCount);
    this->CheckRange(path + ".slots", endpoint.slots, 1, kMaximumCount);
  }

  void CheckAccount(const model::ClientAccount& account,
                    const std::string& path) {
    this->CheckName(path + ".name", account.name, this->account_names);
    if (!this->service_names.contains(account.service)) {
      this->Add(path + ".service", account.service,
                "the name of an entry of services");
    }
    if (!std::isfinite(account.rate) || account.rate <= 0 ||
        account.rate > kMaximumRate) {
      this->Add(path + ".rate", std::to_string(account.rate),
                "above 0 and at most 1e9 requests a second");
    }
    if (!std::isfinite(account.burst) || account.burst < 1 ||
        account.burst > kMaximumRate) {
      this->Add(path + ".burst", std::to_string(account.burst),
                "1 to 1e9 requests");
    }
    for (std::size_t index = 0; index < account.keys.size(); ++index) {
      this->CheckKey(account.keys[index], IndexedPath(path, "keys", index));
    }
  }

  void CheckKey(const model::KeyHash& key, const std::string& path) {
    this->CheckName(path + ".id", key.id, this->key_ids);
    if (key.id.find('.') != std::string::npos) {
      this->Add(path + ".id", key.id, "no '.', which ends the id in a key");
    }
    if (!IsHexadecimal(key.salt) || key.salt.size() < kMinimumSaltDigits ||
        key.salt.size() > kMaximumSaltDigits) {
      this->Add(path + ".salt", std::to_string(key.salt.size()) + " characters",
                "16 to 128 lower-case hexadecimal digits");
    }
    if (!IsHexadecimal(key.digest) || key.digest.size() != kDigestDigits) {
      this->Add(path + ".digest",
                std::to_string(key.digest.size()) + " characters",
                "64 lower-case hexadecimal digits");
    }
  }

  const model::Configuration& configuration;
  std::vector<Fault> faults;
  Names data_centre_names;
  Names service_names;
  Names group_names;
  Names endpoint_names;
  Names addresses;
  Names account_names;
  Names key_ids;
};

}  // namespace

std::string ToString(const Fault& fault) {
  return fault.path + ": value '" + fault.value + "', allowed " + fault.allowed;
}

std::vector<Fault> Validate(const model::Configuration& configuration) {
  return Validator(configuration).Run();
}

}  // namespace laburnumkeel::configuration
