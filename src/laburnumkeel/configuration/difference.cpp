#include "laburnumkeel/configuration/difference.h"

#include <map>
#include <sstream>

namespace laburnumkeel::configuration {

namespace {

// The values of a configuration by path. Paths contain names of entries instead
// of indices, so that an inserted entry does not change the paths after it.
using Values = std::map<std::string, std::string>;

const char* Text(model::Availability availability) {
  return availability == model::Availability::kIn ? "in" : "out";
}

std::string Text(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

void AddEndpoint(const model::Endpoint& endpoint, const std::string& parent,
                 Values& values) {
  const std::string path = parent + "/endpoint " + endpoint.name;
  values[path + ": address"] = endpoint.address;
  values[path + ": data_centre"] = endpoint.data_centre;
  values[path + ": connections"] = std::to_string(endpoint.connections);
  values[path + ": slots"] = std::to_string(endpoint.slots);
  values[path + ": state"] = Text(endpoint.availability);
}

void AddService(const model::Service& service, Values& values) {
  const std::string path = "service " + service.name;
  values[path + ": isolated_serving_seconds"] =
      std::to_string(service.isolated_serving_seconds);
  for (const model::DatabaseGroup& group : service.groups) {
    const std::string group_path = path + "/group " + group.name;
    values[group_path + ": endpoints"] = std::to_string(group.endpoints.size());
    for (const model::Endpoint& endpoint : group.endpoints) {
      AddEndpoint(endpoint, group_path, values);
    }
  }
}

void AddAccount(const model::ClientAccount& account, Values& values) {
  const std::string path = "client_account " + account.name;
  values[path + ": service"] = account.service;
  values[path + ": rate"] = Text(account.rate);
  values[path + ": burst"] = Text(account.burst);
  for (const model::KeyHash& key : account.keys) {
    // Compared but not displayed: the output shows only that a hash changed.
    values[path + "/key " + key.id + ": hash"] = key.salt + key.digest;
  }
}

Values Flatten(const model::Configuration& configuration) {
  Values values;
  values["fleet_size"] = std::to_string(configuration.fleet_size);
  for (const model::DataCentre& data_centre : configuration.data_centres) {
    const std::string path = "data_centre " + data_centre.name;
    values[path + ": region"] = data_centre.region;
    values[path + ": state"] = Text(data_centre.availability);
  }
  for (const model::Service& service : configuration.services) {
    AddService(service, values);
  }
  for (const model::ClientAccount& account : configuration.client_accounts) {
    AddAccount(account, values);
  }
  return values;
}

std::string DisplayedValue(const std::string& path, const std::string& value) {
  return path.ends_with(": hash") ? "(hidden)" : value;
}

}  // namespace

std::vector<std::string> Difference(const model::Configuration& before,
                                    const model::Configuration& after) {
  const Values old_values = Flatten(before);
  const Values new_values = Flatten(after);
  std::vector<std::string> lines;
  for (const auto& [path, value] : old_values) {
    const auto replacement = new_values.find(path);
    if (replacement == new_values.end()) {
      lines.push_back("- " + path + " = " + DisplayedValue(path, value));
    } else if (replacement->second != value) {
      lines.push_back("~ " + path + " = " + DisplayedValue(path, value) +
                      " -> " + DisplayedValue(path, replacement->second));
    }
  }
  for (const auto& [path, value] : new_values) {
    if (!old_values.contains(path)) {
      lines.push_back("+ " + path + " = " + DisplayedValue(path, value));
    }
  }
  return lines;
}

}  // namespace laburnumkeel::configuration
