#include "standins/standin-fleet/demonstration.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace laburnumkeel::standin {

namespace {

using nlohmann::json;

constexpr int kReadRounds = 20;

// Prints steps and counts those with an unexpected result.
class StepPrinter {
 public:
  void Print(const std::string& step, bool as_expected,
             const std::string& detail) {
    std::cout << (as_expected ? "  ok    " : "  FAIL  ") << step << ": "
              << detail << '\n';
    this->failures += as_expected ? 0 : 1;
  }

  int Failures() const { return this->failures; }

 private:
  int failures = 0;
};

std::string Summary(const FleetResponse& response) {
  return "status " + std::to_string(response.status) + " " +
         (response.body.empty() ? response.error : response.body);
}

std::string ErrorCode(const FleetResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object()) {
    return "";
  }
  return body.value("error", json::object()).value("code", "");
}

void WriteThenReadOnOtherVms(Fleet& fleet, StepPrinter& steps) {
  const std::string& key = fleet.GetDeployment().accounts.front().key;
  const FleetResponse written = fleet.Call(
      0, "write", key,
      R"({"group":"g1","statement":"PUT lot-17 polished","request_id":"w1"})",
      "");
  steps.Print("write through vm1", written.status == 200, Summary(written));
  int by_replica = 0;
  int correct = 0;
  std::string session = written.session_token;
  for (int round = 0; round < kReadRounds; ++round) {
    const FleetResponse read =
        fleet.Call(round % kVmCount, "read", key,
                   R"({"group":"g1","statement":"GET lot-17"})", session);
    const json body = json::parse(read.body, nullptr, false);
    correct += read.body.find("polished") != std::string::npos ? 1 : 0;
    by_replica +=
        read.body.find("\"role\":\"replica\"") != std::string::npos ? 1 : 0;
    if (!read.session_token.empty()) {
      session = read.session_token;
    }
    if (round == 4) {
      steps.Print("read through vm5 with the session", read.status == 200,
                  Summary(read));
    }
  }
  steps.Print("roaming reads see the write", correct == kReadRounds,
              std::to_string(correct) + " of " + std::to_string(kReadRounds) +
                  ", " + std::to_string(by_replica) + " from replicas");
}

void RunTransaction(Fleet& fleet, StepPrinter& steps) {
  const Deployment& deployment = fleet.GetDeployment();
  const auto send = [&](int vm, const std::string& path,
                        const std::string& body) {
    return fleet.Send(
        VmAddress(deployment, vm, kEntryPort),
        transport::HttpRequest{
            "POST",
            path,
            {{"Authorization", "Bearer " + deployment.accounts.front().key}},
            body,
            {}});
  };
  const FleetResponse begun =
      send(1, "/v1/services/" + deployment.service + "/transactions",
           R"({"group":"g2"})");
  const json body = json::parse(begun.body, nullptr, false);
  const std::string id = body.is_object() ? body.value("transaction", "") : "";
  steps.Print("begin a transaction on vm2", begun.status == 200,
              Summary(begun));
  const std::string path = "/v1/transactions/" + id;
  const FleetResponse added =
      send(1, path + "/statements", R"({"statement":"ADD sold 2"})");
  steps.Print("statement in the transaction", added.status == 200,
              Summary(added));
  const FleetResponse elsewhere =
      send(2, path + "/statements", R"({"statement":"ADD sold 2"})");
  steps.Print("the same transaction on vm3 is refused", elsewhere.status >= 400,
              Summary(elsewhere));
  const FleetResponse committed = send(1, path + "/commit", "");
  steps.Print("commit", committed.status == 200, Summary(committed));
}

void ShowRefusals(Fleet& fleet, StepPrinter& steps) {
  const Deployment& deployment = fleet.GetDeployment();
  const std::string& key = deployment.accounts.front().key;
  const std::string statement = R"({"group":"g1","statement":"GET lot-17"})";
  const auto expect = [&](const std::string& step,
                          const FleetResponse& response, int status,
                          const std::string& code) {
    steps.Print(step,
                response.status == status &&
                    (code.empty() || ErrorCode(response) == code),
                Summary(response));
  };
  expect("unknown key", fleet.Call(3, "read", "nobody.key", statement, ""), 401,
         "unknown_key");
  expect("forged session", fleet.Call(3, "read", key, statement, "AAAA"), 400,
         "");
  expect("body that is not JSON", fleet.Call(3, "read", key, "{", ""), 400,
         "bad_request");
  expect("oversized body",
         fleet.Call(3, "read", key, std::string(70000, 'x'), ""), 413,
         "body_too_large");
  expect("unknown route",
         fleet.Send(VmAddress(deployment, 3, kEntryPort),
                    transport::HttpRequest{"GET", "/v1/nothing", {}, "", {}}),
         404, "unknown_route");
  expect("a public route needs no key",
         fleet.Send(VmAddress(deployment, 3, kEntryPort),
                    transport::HttpRequest{"GET", "/v1/version", {}, "", {}}),
         200, "");
}

}  // namespace

int RunDemonstration(Fleet& fleet) {
  StepPrinter steps;
  WriteThenReadOnOtherVms(fleet, steps);
  RunTransaction(fleet, steps);
  ShowRefusals(fleet, steps);
  return steps.Failures();
}

}  // namespace laburnumkeel::standin
