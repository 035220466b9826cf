"""A zone loses power and comes back. The primary returns under a new id while
its replacement is under way, and the change of primary never ends."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))

import deployment  # noqa: E402
from net import now  # noqa: E402

# `zone_loss`: "machines and servers come back within 1.5 s" of the end of the
# loss.
LOSS_S = 1.5
BACK_S = 0.3
# After the power is back, all processes are killed (`kill_all`, `down_s` 0.8).
FINAL_AFTER_S = 4.0
DOWN_S = 0.8
RECOVERY_S = 12
OBSERVED_S = 8
LEAVE_AFTER_S = 8.0
# Twelve clients stay below the tenant's rate.
PAUSE_S = 0.15


def share_served(clients, since, until):
    requests = [
        is_served
        for client in clients
        for sent, is_served in client.requests
        if since <= sent < until
    ]
    return sum(requests) / max(len(requests), 1), len(requests)


async def case(system):
    group = system.group
    hosts = list(deployment.HOSTS)
    clients = [
        deployment.Writer(
            system, f"writer-{number}", system.vms[number], PAUSE_S
        )
        for number in range(3)
    ] + [
        deployment.Reader(
            system, f"reader-{host}-{number}", system.vms[number], host, PAUSE_S
        )
        for number in range(3)
        for host in hosts
    ]
    for client in clients:
        system.spawn(client.run())
    begin = now()
    await asyncio.sleep(2)
    # A planned change of primary, as happens every day.
    await system.release(system.primary(), "i-e2e9145a", LEAVE_AFTER_S)
    await asyncio.sleep(LEAVE_AFTER_S + 2)
    primary = await system.settled_primary()
    final = now()
    if system.has_trouble:
        if os.environ.get("ZONE_LOSS", "1") != "0":
            vm = next(
                (vm for vm in system.vms
                 if vm.zone == primary.zone and vm is not system.leader()),
                None,
            )
            system.record.add("test", f"{primary.zone} loses power")
            system.spawn(system.expire(primary.id))
            system.spawn(
                system.lose_power(primary, "i-f1b0c7d2", LOSS_S + BACK_S)
            )
            if vm:
                system.spawn(vm.kill_and_restart(LOSS_S + BACK_S))
            await asyncio.sleep(LOSS_S + BACK_S)
        await asyncio.sleep(FINAL_AFTER_S)
        final = now()
        for vm in system.vms:
            vm.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for vm in system.vms:
            vm.process.wait()
            vm.start()
    back = now()
    await asyncio.sleep(RECOVERY_S + OBSERVED_S)
    for client in clients:
        client.is_over = True
    before, count_before = share_served(clients, begin, final)
    after, count_after = share_served(clients, back + RECOVERY_S, now())
    print(f"served before the final fault: {before:.2f} of {count_before};",
          f"later than {RECOVERY_S} s after it: {after:.2f} of {count_after}")
    if before >= 0.25 and after < 0.25:
        return [
            f"RECOVER: {after:.2f} of the requests sent later than recovery_s "
            f"after the machines were back are served, {before:.2f} before"
        ]
    return []


deployment.main(case, os.path.dirname(os.path.abspath(__file__)))
