#ifndef LABURNUMKEEL_ADMISSION_CLIENT_LOAD_H_
#define LABURNUMKEEL_ADMISSION_CLIENT_LOAD_H_

#include <cstddef>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::admission {

// What one client connection holds and does.
struct ClientLoad {
  // Bytes of the memory account.
  std::size_t held_bytes = 0;
  // When the connection was opened, or last had a message complete, a statement
  // answered or an answer taken.
  kernel::Instant last_progress;
  // The session has been started.
  bool is_started = false;
  // A statement or an admission is outstanding, or a transaction is open.
  bool is_at_work = false;
  // A statement is at a database, or waits for one.
  bool is_at_database = false;

  bool operator==(const ClientLoad&) const = default;
};

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_CLIENT_LOAD_H_
