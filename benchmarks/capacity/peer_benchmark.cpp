#include "benchmarks/capacity/peer_benchmark.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <vector>

#include "benchmarks/capacity/series.h"
#include "benchmarks/capacity/thread_time.h"
#include "laburnumkeel/membership/vm_directory.h"
#include "laburnumkeel/membership/watcher_selection.h"
#include "laburnumkeel/peer/generated/peer_types.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kBatches = 9;
constexpr int kPlannedDataCentres = 7;

peer::generated::PeerState MakeState(int data_centres) {
  peer::generated::PeerState state;
  state.vm = "vm1234";
  state.incarnation = "0123456789abcdef0123456789abcdef";
  state.data_centre = "dc1";
  state.configuration_version = 1;
  state.control_address = "10.123.123.123:7000";
  for (int centre = 0; centre < data_centres; ++centre) {
    // A data centre has two contacts when its last heartbeat is newer than
    // its last contact with the store.
    for (const bool reaches_store : {false, true}) {
      peer::generated::Contact contact;
      contact.data_centre = "dc" + std::to_string(centre);
      contact.age_ms = 1;
      contact.reaches_store = reaches_store;
      state.contacts.push_back(contact);
    }
  }
  return state;
}

void MeasureState() {
  Series series("state in an exchange between control programs",
                "data centres");
  for (const int centres : {1, 3, 7, 14}) {
    const peer::generated::PeerState state = MakeState(centres);
    const auto buffer =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TBinaryProtocol protocol(buffer);
    const auto bytes = static_cast<double>(state.write(&protocol));
    series.Add("state, bytes", centres, bytes);
    constexpr int kCalls = 1000;
    series.Add("write and read, us", centres,
               MedianMicroseconds(kBatches, kCalls, [&] {
                 buffer->resetBuffer();
                 state.write(&protocol);
                 peer::generated::PeerState copy;
                 copy.read(&protocol);
                 Keep(copy);
               }));
  }
  series.Print();
}

membership::PeerResponse MakePeerResponse(int vm) {
  return membership::PeerResponse{
      "vm" + std::to_string(vm),
      "dc" + std::to_string(vm % kPlannedDataCentres),
      "10.1." + std::to_string(vm / 200) + "." + std::to_string(vm % 200) +
          ":7000",
      false,
      true,
      {}};
}

void MeasureDirectory() {
  Series series("directory of VMs and watchers of one group", "live VMs");
  for (const int vms : {8, 64, 350, 1400}) {
    membership::VmDirectory<testing::ManualClock> directory(
        testing::ManualClock(), {"vm0", "dc0", "10.1.0.0:7000", "", false});
    std::vector<membership::VmRecord> listed;
    for (int vm = 0; vm < vms; ++vm) {
      const membership::PeerResponse answer = MakePeerResponse(vm);
      listed.push_back({answer.vm, answer.data_centre, answer.control_address,
                        "10.1.0.0:8080", false});
    }
    directory.SetListed(listed);
    const kernel::Instant now = testing::ManualClock().Now();
    for (int vm = 1; vm < vms; ++vm) {
      directory.OnResponse(MakePeerResponse(vm), now);
    }
    const membership::PeerResponse answer = MakePeerResponse(vms / 2);
    constexpr int kCalls = 20;
    series.Add("answer of a peer, us", vms,
               MedianMicroseconds(kBatches, kCalls,
                                  [&] { directory.OnResponse(answer, now); }));
    series.Add("live VMs, us", vms, MedianMicroseconds(kBatches, kCalls, [&] {
                 Keep(directory.Live());
               }));
    const std::vector<membership::VmRecord> live = directory.Live();
    series.Add("SelectWatchers, us", vms,
               MedianMicroseconds(kBatches, kCalls, [&] {
                 Keep(membership::SelectWatchers("g1", live));
               }));
  }
  series.Print();
}

}  // namespace

void MeasurePeer() {
  MeasureState();
  MeasureDirectory();
}

}  // namespace laburnumkeel::benchmarks
