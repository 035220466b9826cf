#include "programs/laburnumkeel-admin/thrift_local_control.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <cstdlib>
#include <memory>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/peer/generated/LocalControl.h"
#include "programs/laburnumkeel-admin/events.h"

namespace laburnumkeel::admin {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TBufferedTransport;
using apache::thrift::transport::TSocket;
using peer::generated::LocalControlClient;

constexpr int kConnectTimeoutMs = 1000;

std::uint64_t ToVersion(std::int64_t version) {
  return version < 0 ? 0 : static_cast<std::uint64_t>(version);
}

}  // namespace

ThriftLocalControl::ThriftLocalControl(std::string address,
                                       std::chrono::milliseconds timeout)
    : address(std::move(address)), timeout(timeout) {}

template <class Value, class Call>
kernel::Result<Value, ControlError> ThriftLocalControl::Run(Call call) {
  const std::size_t colon = this->address.rfind(':');
  auto socket =
      std::make_shared<TSocket>(this->address.substr(0, colon),
                                std::atoi(this->address.c_str() + colon + 1));
  socket->setConnTimeout(kConnectTimeoutMs);
  socket->setSendTimeout(static_cast<int>(this->timeout.count()));
  socket->setRecvTimeout(static_cast<int>(this->timeout.count()));
  auto buffered = std::make_shared<TBufferedTransport>(socket);
  LocalControlClient client(std::make_shared<TBinaryProtocol>(buffered));
  bool connected = false;
  try {
    buffered->open();
    connected = true;
    Value value = call(client);
    buffered->close();
    return value;
  } catch (const TException& error) {
    kernel::LogEvent(kControlUnreachable, {{"address", this->address},
                                           {"connected", connected},
                                           {"reason", error.what()}});
    return ControlError{connected, error.what()};
  }
}

kernel::Result<Submission, ControlError>
ThriftLocalControl::SubmitConfiguration(const std::string& document,
                                        std::uint64_t base_version,
                                        const std::string& operation_id) {
  return this->Run<Submission>([&](LocalControlClient& client) {
    peer::generated::SubmitResult result;
    client.submitConfiguration(result, document,
                               static_cast<std::int64_t>(base_version),
                               operation_id);
    return Submission{result.result, ToVersion(result.version), result.faults};
  });
}

kernel::Result<ConfigurationDocument, ControlError>
ThriftLocalControl::CurrentConfiguration() {
  return this->Run<ConfigurationDocument>([](LocalControlClient& client) {
    peer::generated::ConfigurationCopy copy;
    client.currentConfiguration(copy);
    return ConfigurationDocument{ToVersion(copy.version), copy.document};
  });
}

kernel::Result<std::vector<FleetMember>, ControlError>
ThriftLocalControl::FleetStatus() {
  return this->Run<std::vector<FleetMember>>([](LocalControlClient& client) {
    std::vector<peer::generated::VmStatus> statuses;
    client.fleetStatus(statuses);
    std::vector<FleetMember> members;
    members.reserve(statuses.size());
    for (const peer::generated::VmStatus& status : statuses) {
      members.push_back(FleetMember{status.vm, status.data_centre,
                                    std::chrono::milliseconds(status.age_ms),
                                    ToVersion(status.configuration_version),
                                    status.reaches_store});
    }
    return members;
  });
}

}  // namespace laburnumkeel::admin
