#ifndef LABURNUMKEEL_MODEL_CONFIGURATION_H_
#define LABURNUMKEEL_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumkeel::model {

// Whether new work may go to an endpoint or a data centre.
enum class Availability { kIn, kOut };

// One database of a group.
struct Endpoint {
  std::string name;
  // `IP:port` of the endpoint protocol.
  std::string address;
  std::string data_centre;
  // Connections and concurrently executed statements over the whole fleet.
  std::int64_t connections = 0;
  std::int64_t slots = 0;
  // `kOut` for an endpoint that is departing.
  Availability availability = Availability::kIn;

  bool operator==(const Endpoint&) const = default;
};

// A primary and its replicas.
struct DatabaseGroup {
  std::string name;
  std::vector<Endpoint> endpoints;

  bool operator==(const DatabaseGroup&) const = default;
};

struct Service {
  std::string name;
  std::vector<DatabaseGroup> groups;
  // How long a VM that reaches neither the store nor a majority of data centres
  // continues to serve requests with keys, in seconds.
  std::int64_t isolated_serving_seconds = 0;

  bool operator==(const Service&) const = default;
};

struct DataCentre {
  std::string name;
  std::string region;
  Availability availability = Availability::kIn;

  bool operator==(const DataCentre&) const = default;
};

// A stored key: HMAC-SHA-256 of the key under the salt, both hexadecimal.
struct KeyHash {
  std::string id;
  std::string salt;
  std::string digest;

  bool operator==(const KeyHash&) const = default;
};

struct ClientAccount {
  std::string name;
  std::string service;
  // Requests per second over the whole fleet.
  double rate = 0;
  // Requests that may be admitted at once over the whole fleet.
  double burst = 0;
  std::vector<KeyHash> keys;

  bool operator==(const ClientAccount&) const = default;
};

// The whole configuration of a fleet. Version 0 is the empty configuration.
struct Configuration {
  std::uint64_t version = 0;
  // Number of entry VMs among which connections and reserve shares are split.
  std::int64_t fleet_size = 8;
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<ClientAccount> client_accounts;

  bool operator==(const Configuration&) const = default;
};

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_CONFIGURATION_H_
