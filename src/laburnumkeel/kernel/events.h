#ifndef LABURNUMKEEL_KERNEL_EVENTS_H_
#define LABURNUMKEEL_KERNEL_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::kernel {

inline constexpr EventDefinition kServiceStarted{
    1001, Severity::kInformation, "service_started", "a service is running"};
inline constexpr EventDefinition kServiceStopped{
    1002, Severity::kInformation, "service_stopped", "a service has ended"};
inline constexpr EventDefinition kServiceStartFailed{
    1003, Severity::kError, "service_start_failed",
    "a service could not start; the program ends"};
inline constexpr EventDefinition kProgramStarted{
    1004, Severity::kInformation, "program_started",
    "all services of the program are running"};
inline constexpr EventDefinition kShutdownRequested{
    1005, Severity::kInformation, "shutdown_requested",
    "SIGTERM or SIGINT arrived; graceful shutdown begins"};
inline constexpr EventDefinition kProgramStopped{
    1006, Severity::kInformation, "program_stopped",
    "graceful shutdown is complete"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kServiceStarted,     kServiceStopped,
                                    kServiceStartFailed, kProgramStarted,
                                    kShutdownRequested,  kProgramStopped};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_EVENTS_H_
