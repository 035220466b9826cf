#ifndef LABURNUMKEEL_ADMISSION_CLIENT_LIMITS_H_
#define LABURNUMKEEL_ADMISSION_CLIENT_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace laburnumkeel::admission {

// What all clients of a process together, and each of them, may use.
struct ClientLimits {
  // Budget of the account of the clients' memory.
  std::size_t memory_bytes = 0;
  // Connections of all clients.
  std::size_t connections = 0;
  // Session values and prepared statements of one session, with the overhead of
  // their tables.
  std::size_t session_state_bytes = 0;
  // From the connection to the first message.
  std::chrono::milliseconds handshake_timeout{0};
  // From the first byte of a message to its last.
  std::chrono::milliseconds message_timeout{0};
  // From the first byte of an answer that the client does not take to the last.
  std::chrono::milliseconds answer_timeout{0};

  bool operator==(const ClientLimits&) const = default;
};

// The machine that a process runs on.
struct MachineLimits {
  std::size_t memory_bytes = 0;
  // Descriptors that the process may have open.
  std::size_t descriptors = 0;

  bool operator==(const MachineLimits&) const = default;
};

// The part of a machine's memory that clients may use. The rest is for the
// program, its connections to endpoints, and memory that the allocator holds
// back.
std::size_t ClientMemory(const MachineLimits& machine);

// The connections that clients may have, so that descriptors are left for
// files, endpoints, the store, other VMs and the readiness address.
std::size_t ClientConnections(const MachineLimits& machine);

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_CLIENT_LIMITS_H_
