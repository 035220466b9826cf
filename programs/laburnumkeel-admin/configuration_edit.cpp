#include "programs/laburnumkeel-admin/configuration_edit.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace laburnumkeel::admin {

namespace {

using model::Availability;
using model::Configuration;
using EditResult = kernel::Result<Configuration, AdminError>;

// Returns the entry with that name, or null.
template <class Entry>
auto* FindByName(std::vector<Entry>& entries, const std::string& name) {
  const auto entry = std::find_if(
      entries.begin(), entries.end(),
      [&](const Entry& candidate) { return candidate.name == name; });
  return entry == entries.end() ? nullptr : &*entry;
}

// Returns the endpoint, or null if any of the names is unknown.
model::Endpoint* FindEndpoint(Configuration& configuration,
                              const std::string& service,
                              const std::string& group,
                              const std::string& endpoint) {
  model::Service* found_service = FindByName(configuration.services, service);
  model::DatabaseGroup* found_group =
      found_service == nullptr ? nullptr
                               : FindByName(found_service->groups, group);
  return found_group == nullptr ? nullptr
                                : FindByName(found_group->endpoints, endpoint);
}

std::string StateText(Availability availability) {
  return availability == Availability::kIn ? "in" : "out";
}

// Wraps `change` so that it modifies a copy of the configuration. `change`
// returns whether the entry `what` exists.
std::function<EditResult(const Configuration&)> EditCopy(
    std::string what, std::function<bool(Configuration&)> change) {
  return [what = std::move(what), change = std::move(change)](
             const Configuration& configuration) -> EditResult {
    Configuration changed = configuration;
    if (!change(changed)) {
      return NotFound("no " + what);
    }
    return changed;
  };
}

}  // namespace

ConfigurationEdit GrantKey(const std::string& account, model::KeyHash key) {
  return ConfigurationEdit{
      EditCopy("client account '" + account + "'",
               [account, key = std::move(key)](Configuration& configuration) {
                 model::ClientAccount* entry =
                     FindByName(configuration.client_accounts, account);
                 if (entry != nullptr) {
                   entry->keys.push_back(key);
                 }
                 return entry != nullptr;
               }),
      // A new key replaces nothing.
      [](const Configuration&) { return std::string(); }};
}

ConfigurationEdit RevokeKey(const std::string& account,
                            const std::string& key_id) {
  const auto has_id = [key_id](const model::KeyHash& key) {
    return key.id == key_id;
  };
  return ConfigurationEdit{
      EditCopy("key '" + key_id + "' of client account '" + account + "'",
               [account, has_id](Configuration& configuration) {
                 model::ClientAccount* entry =
                     FindByName(configuration.client_accounts, account);
                 return entry != nullptr &&
                        std::erase_if(entry->keys, has_id) > 0;
               }),
      // `apply` itself fails when the key no longer exists.
      [](const Configuration&) { return std::string(); }};
}

ConfigurationEdit SetAccountLimits(const std::string& account,
                                   std::optional<double> rate,
                                   std::optional<double> burst) {
  return ConfigurationEdit{
      EditCopy("client account '" + account + "'",
               [account, rate, burst](Configuration& configuration) {
                 model::ClientAccount* entry =
                     FindByName(configuration.client_accounts, account);
                 if (entry != nullptr) {
                   entry->rate = rate.value_or(entry->rate);
                   entry->burst = burst.value_or(entry->burst);
                 }
                 return entry != nullptr;
               }),
      [account](const Configuration& configuration) {
        Configuration copy = configuration;
        const model::ClientAccount* entry =
            FindByName(copy.client_accounts, account);
        return entry == nullptr ? ""
                                : std::to_string(entry->rate) + "/" +
                                      std::to_string(entry->burst);
      }};
}

ConfigurationEdit SetDataCentreState(const std::string& data_centre,
                                     Availability availability) {
  return ConfigurationEdit{
      EditCopy("data centre '" + data_centre + "'",
               [data_centre, availability](Configuration& configuration) {
                 model::DataCentre* entry =
                     FindByName(configuration.data_centres, data_centre);
                 if (entry != nullptr) {
                   entry->availability = availability;
                 }
                 return entry != nullptr;
               }),
      [data_centre](const Configuration& configuration) {
        Configuration copy = configuration;
        const model::DataCentre* entry =
            FindByName(copy.data_centres, data_centre);
        return entry == nullptr ? "" : StateText(entry->availability);
      }};
}

ConfigurationEdit SetEndpointState(const std::string& service,
                                   const std::string& group,
                                   const std::string& endpoint,
                                   Availability availability) {
  return ConfigurationEdit{
      EditCopy(
          "endpoint '" + endpoint + "' in group '" + group + "' of service '" +
              service + "'",
          [service, group, endpoint, availability](Configuration& candidate) {
            model::Endpoint* entry =
                FindEndpoint(candidate, service, group, endpoint);
            if (entry != nullptr) {
              entry->availability = availability;
            }
            return entry != nullptr;
          }),
      [service, group, endpoint](const Configuration& configuration) {
        Configuration copy = configuration;
        const model::Endpoint* entry =
            FindEndpoint(copy, service, group, endpoint);
        return entry == nullptr ? "" : StateText(entry->availability);
      }};
}

}  // namespace laburnumkeel::admin
