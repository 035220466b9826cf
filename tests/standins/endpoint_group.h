#ifndef LABURNUMKEEL_TESTS_STANDINS_ENDPOINT_GROUP_H_
#define LABURNUMKEEL_TESTS_STANDINS_ENDPOINT_GROUP_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/standin-endpoint/standin_endpoint.h"
#include "tests/standins/loopback.h"

namespace laburnumkeel::testing {

// Stand-in endpoints `db0` (primary of term 1, data centre `dc0`), `db1`, ...
// of one group.
class EndpointGroup {
 public:
  explicit EndpointGroup(int count) {
    std::string members;
    for (int index = 0; index < count; ++index) {
      members += (index == 0 ? "db" : ",db") + std::to_string(index) + "=" +
                 Address(index);
    }
    for (int index = 0; index < count; ++index) {
      standins::EndpointSettings settings;
      settings.name = "db" + std::to_string(index);
      settings.group = "g";
      settings.data_centre = "dc" + std::to_string(index);
      settings.listen = Address(index);
      settings.faults_listen = FaultsAddress(index);
      settings.members = members;
      settings.initial_primary = index == 0;
      settings.record_received = true;
      settings.connect_delay_ms = 1;
      settings.latencies = "far=40";
      this->all_settings.push_back(settings);
      this->endpoints.emplace_back();
      this->Restart(index);
    }
  }

  // Starts the endpoint as a new process would.
  void Restart(int index) {
    auto& endpoint = this->endpoints[index];
    endpoint.reset();
    endpoint =
        std::make_unique<standins::StandinEndpoint>(this->all_settings[index]);
    if (!endpoint->Start()) {
      throw std::runtime_error("cannot start an endpoint");
    }
  }

  static std::string Address(int index) {
    return LoopbackAddress(7001 + index);
  }
  static std::string FaultsAddress(int index) {
    return LoopbackAddress(7101 + index);
  }

  static void SetFault(int index, const nlohmann::json& fault) {
    const auto response = Call(FaultsAddress(index), "POST", "/faults", fault);
    if (response.value("mode", "") != fault.at("mode")) {
      throw std::runtime_error(response.dump());
    }
  }

  static nlohmann::json Status(int index) {
    return Call(Address(index), "GET", "/v1/status");
  }

  // How often the request was executed.
  static int Executions(int index, const std::string& request_id) {
    return Call(FaultsAddress(index), "GET", "/executions")
        .value(request_id, 0);
  }

 private:
  std::vector<standins::EndpointSettings> all_settings;
  std::vector<std::unique_ptr<standins::StandinEndpoint>> endpoints;
};

// The body of a statement, or of `begin`, `commit` and `abort`.
inline nlohmann::json StatementBody(const std::string& request_id,
                                    const std::string& statement,
                                    int term = 1) {
  return {{"request_id", request_id},
          {"term", term},
          {"kind", statement.starts_with("GET") ? "read" : "write"},
          {"statement", statement},
          {"account", "a"}};
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_STANDINS_ENDPOINT_GROUP_H_
