#ifndef LABURNUMKEEL_ADMISSION_CLOSING_CHOICE_H_
#define LABURNUMKEEL_ADMISSION_CLOSING_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "laburnumkeel/admission/client_load.h"
#include "laburnumkeel/kernel/clock.h"

// Which client connections are closed when a resource runs out. The results are
// indices of `clients`.
namespace laburnumkeel::admission {

// Connections whose memory adds up to at least `bytes`, or all. Those that hold
// most and have made no progress for longest come first, and those with a
// statement at a database after all others.
std::vector<std::size_t> ChooseForMemory(const std::vector<ClientLoad>& clients,
                                         std::size_t bytes,
                                         kernel::Instant now);

// The connection that is closed so that another one gets memory: the first one
// of ChooseForMemory that holds much, has made no progress for a second and has
// no statement at a database. Empty if there is none.
std::optional<std::size_t> ChooseForWaiting(
    const std::vector<ClientLoad>& clients, kernel::Instant now);

// The connection that is closed for a new one: the oldest one without a started
// session, or else the session that has been idle for longest, for a second at
// least. Empty if there is none.
std::optional<std::size_t> ChooseForConnection(
    const std::vector<ClientLoad>& clients, kernel::Instant now);

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_CLOSING_CHOICE_H_
