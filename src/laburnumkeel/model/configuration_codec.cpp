#include "laburnumkeel/model/configuration_codec.h"

#include <algorithm>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumkeel::model {

namespace {

using nlohmann::json;

// Thrown inside the decoder only; `DecodeConfiguration` converts it.
class DecodeException : public std::exception {
 public:
  explicit DecodeException(std::string message) : message(std::move(message)) {}
  const char* what() const noexcept override { return this->message.c_str(); }

 private:
  std::string message;
};

// One object of the document with its path, for error messages.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path,
               std::initializer_list<std::string_view> fields)
      : object(object), path(std::move(path)) {
    if (!object.is_object()) {
      throw DecodeException(this->path + ": expected an object");
    }
    for (const auto& [name, value] : object.items()) {
      if (std::find(fields.begin(), fields.end(), name) == fields.end()) {
        throw DecodeException(this->path + ": unknown field '" + name + "'");
      }
    }
  }

  template <class Value>
  Value Get(const char* name) const {
    const auto field = this->object.find(name);
    if (field == this->object.end()) {
      throw DecodeException(this->path + ": field '" + name + "' is missing");
    }
    return this->Convert<Value>(name, *field);
  }

  template <class Value>
  Value GetOr(const char* name, Value fallback) const {
    const auto field = this->object.find(name);
    return field == this->object.end() ? fallback
                                       : this->Convert<Value>(name, *field);
  }

  // Decodes each element of an array field; a missing field is empty.
  template <class Value>
  std::vector<Value> GetEach(const char* name,
                             Value (*decode)(const json&, std::string)) const {
    std::vector<Value> values;
    const auto field = this->object.find(name);
    if (field == this->object.end()) {
      return values;
    }
    if (!field->is_array()) {
      throw DecodeException(this->path + "." + name + ": expected an array");
    }
    for (std::size_t index = 0; index < field->size(); ++index) {
      values.push_back(
          decode((*field)[index],
                 this->path + "." + name + "[" + std::to_string(index) + "]"));
    }
    return values;
  }

  Availability GetAvailability(const char* name) const {
    const auto text = this->GetOr<std::string>(name, "in");
    if (text == "in") {
      return Availability::kIn;
    }
    if (text == "out") {
      return Availability::kOut;
    }
    throw DecodeException(this->path + "." + name + ": value '" + text +
                          "', allowed 'in' or 'out'");
  }

 private:
  template <class Value>
  Value Convert(const char* name, const json& field) const {
    // nlohmann::json converts between number types and would silently truncate
    // a fraction.
    if constexpr (std::is_integral_v<Value>) {
      if (!field.is_number_integer()) {
        throw DecodeException(this->path + "." + name +
                              ": expected an integer");
      }
    }
    try {
      return field.get<Value>();
    } catch (const json::exception&) {
      throw DecodeException(this->path + "." + name + ": wrong type");
    }
  }

  const json& object;
  std::string path;
};

const char* AvailabilityText(Availability availability) {
  return availability == Availability::kIn ? "in" : "out";
}

Endpoint DecodeEndpoint(const json& object, std::string path) {
  const ObjectReader reader(
      object, std::move(path),
      {"name", "address", "data_centre", "connections", "slots", "state"});
  return Endpoint{reader.Get<std::string>("name"),
                  reader.Get<std::string>("address"),
                  reader.Get<std::string>("data_centre"),
                  reader.Get<std::int64_t>("connections"),
                  reader.Get<std::int64_t>("slots"),
                  reader.GetAvailability("state")};
}

DatabaseGroup DecodeGroup(const json& object, std::string path) {
  const ObjectReader reader(object, std::move(path), {"name", "endpoints"});
  return DatabaseGroup{reader.Get<std::string>("name"),
                       reader.GetEach("endpoints", DecodeEndpoint)};
}

Service DecodeService(const json& object, std::string path) {
  const ObjectReader reader(object, std::move(path),
                            {"name", "groups", "isolated_serving_seconds"});
  return Service{reader.Get<std::string>("name"),
                 reader.GetEach("groups", DecodeGroup),
                 reader.GetOr<std::int64_t>("isolated_serving_seconds", 0)};
}

DataCentre DecodeDataCentre(const json& object, std::string path) {
  const ObjectReader reader(object, std::move(path),
                            {"name", "region", "state"});
  return DataCentre{reader.Get<std::string>("name"),
                    reader.Get<std::string>("region"),
                    reader.GetAvailability("state")};
}

KeyHash DecodeKey(const json& object, std::string path) {
  const ObjectReader reader(object, std::move(path), {"id", "salt", "digest"});
  return KeyHash{reader.Get<std::string>("id"), reader.Get<std::string>("salt"),
                 reader.Get<std::string>("digest")};
}

ClientAccount DecodeClientAccount(const json& object, std::string path) {
  const ObjectReader reader(object, std::move(path),
                            {"name", "service", "rate", "burst", "keys"});
  return ClientAccount{reader.Get<std::string>("name"),
                       reader.Get<std::string>("service"),
                       reader.Get<double>("rate"), reader.Get<double>("burst"),
                       reader.GetEach("keys", DecodeKey)};
}

json EncodeEndpoint(const Endpoint& endpoint) {
  return {{"name", endpoint.name},
          {"address", endpoint.address},
          {"data_centre", endpoint.data_centre},
          {"connections", endpoint.connections},
          {"slots", endpoint.slots},
          {"state", AvailabilityText(endpoint.availability)}};
}

json EncodeService(const Service& service) {
  json groups = json::array();
  for (const DatabaseGroup& group : service.groups) {
    json endpoints = json::array();
    for (const Endpoint& endpoint : group.endpoints) {
      endpoints.push_back(EncodeEndpoint(endpoint));
    }
    groups.push_back({{"name", group.name}, {"endpoints", endpoints}});
  }
  return {{"name", service.name},
          {"groups", groups},
          {"isolated_serving_seconds", service.isolated_serving_seconds}};
}

json EncodeClientAccount(const ClientAccount& account) {
  json keys = json::array();
  for (const KeyHash& key : account.keys) {
    keys.push_back(
        {{"id", key.id}, {"salt", key.salt}, {"digest", key.digest}});
  }
  return {{"name", account.name},
          {"service", account.service},
          {"rate", account.rate},
          {"burst", account.burst},
          {"keys", keys}};
}

}  // namespace

std::string Encode(const Configuration& configuration) {
  json data_centres = json::array();
  for (const DataCentre& data_centre : configuration.data_centres) {
    data_centres.push_back(
        {{"name", data_centre.name},
         {"region", data_centre.region},
         {"state", AvailabilityText(data_centre.availability)}});
  }
  json services = json::array();
  for (const Service& service : configuration.services) {
    services.push_back(EncodeService(service));
  }
  json accounts = json::array();
  for (const ClientAccount& account : configuration.client_accounts) {
    accounts.push_back(EncodeClientAccount(account));
  }
  return json{{"version", configuration.version},
              {"fleet_size", configuration.fleet_size},
              {"data_centres", data_centres},
              {"services", services},
              {"client_accounts", accounts}}
      .dump(2);
}

kernel::Result<Configuration, CodecError> DecodeConfiguration(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return CodecError{"the document is not JSON"};
  }
  try {
    const ObjectReader reader(document, "configuration",
                              {"version", "fleet_size", "data_centres",
                               "services", "client_accounts"});
    return Configuration{
        reader.GetOr<std::uint64_t>("version", 0),
        reader.GetOr<std::int64_t>("fleet_size", 8),
        reader.GetEach("data_centres", DecodeDataCentre),
        reader.GetEach("services", DecodeService),
        reader.GetEach("client_accounts", DecodeClientAccount)};
  } catch (const DecodeException& error) {
    return CodecError{error.what()};
  }
}

}  // namespace laburnumkeel::model
