#ifndef LABURNUMKEEL_TESTS_STANDINS_LOOPBACK_H_
#define LABURNUMKEEL_TESTS_STANDINS_LOOPBACK_H_

#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "laburnumkeel/transport/http_connection.h"

namespace laburnumkeel::testing {

inline constexpr std::chrono::milliseconds kPatience{3000};

// An address of this process only, so that test programs of other worktrees
// can run at the same time. The process id chooses the IP address.
inline std::string LoopbackAddress(int port) {
  const int process = getpid();
  return "127." + std::to_string(1 + process / 62500 % 250) + "." +
         std::to_string(process / 250 % 250) + "." +
         std::to_string(1 + process % 250) + ":" + std::to_string(port);
}

inline transport::HttpConnection Connect(const std::string& address) {
  auto connection =
      transport::HttpConnection::Open(address, transport::ConnectionLimits{});
  if (!connection.has_value()) {
    throw std::runtime_error(connection.error().message);
  }
  return std::move(connection.value());
}

inline transport::HttpRequest MakeRequest(const std::string& method,
                                          const std::string& target,
                                          const nlohmann::json& body,
                                          const std::string& origin) {
  return transport::HttpRequest{method,
                                target,
                                {{"Laburnumkeel-Origin", origin}},
                                body.is_null() ? "" : body.dump(),
                                {}};
}

// Sends one request; throws when no response arrives.
inline nlohmann::json Call(transport::HttpConnection& connection,
                           const std::string& method, const std::string& target,
                           const nlohmann::json& body = nullptr,
                           const std::string& origin = "vm1/dc1") {
  const auto response =
      connection.Exchange(MakeRequest(method, target, body, origin), kPatience);
  if (!response.has_value()) {
    throw std::runtime_error(response.error().message);
  }
  return nlohmann::json::parse(response.value().body);
}

// The same on a connection of its own.
inline nlohmann::json Call(const std::string& address,
                           const std::string& method, const std::string& target,
                           const nlohmann::json& body = nullptr,
                           const std::string& origin = "vm1/dc1") {
  auto connection = Connect(address);
  return Call(connection, method, target, body, origin);
}

// Waits until the condition holds; false after 3 s.
template <class Condition>
bool Eventually(const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_STANDINS_LOOPBACK_H_
