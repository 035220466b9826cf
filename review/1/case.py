"""A leading VM restarts while the store is down, and promotes a replica that
lacks acknowledged commits when the store is back."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))

import deployment  # noqa: E402

# Within the 4.5 s of `platform_down` in the site file.
OUTAGE_S = 4.5
# The leading process is killed this long before the end of the outage, and
# starts again as the store is back.
RESTART_S = 0.5
# The databases' entries are back within about two seconds.
EARLY_S = 0.2
LATE_S = 1.95


async def report_again(database, group, after_s):
    await asyncio.sleep(after_s)
    database.reports = True
    group.report(database)


async def case(system):
    group = system.group
    writers = [
        deployment.Writer(system, f"client-{number}", system.vms[number % 3])
        for number in range(6)
    ]
    for writer in writers:
        system.spawn(writer.run())
    await asyncio.sleep(4)
    if system.has_trouble:
        leader = system.leader()
        system.record.add("test", f"{leader.name} leads")
        first, *others = [m for m in group.members.values() if m.role == "replica"]
        late = others + [m for m in group.members.values() if m.role == "primary"]
        for database in group.members.values():
            database.reports = False
        outage = asyncio.ensure_future(system.outage(OUTAGE_S))
        await asyncio.sleep(OUTAGE_S - RESTART_S)
        leader.signal(signal.SIGKILL)
        await outage
        leader.process.wait()
        leader.start()
        system.spawn(report_again(first, group, EARLY_S))
        for database in late:
            system.spawn(report_again(database, group, LATE_S))
    await asyncio.sleep(8)
    for writer in writers:
        writer.is_over = True
    await asyncio.sleep(1.5)
    acknowledged = [entry for writer in writers for entry in writer.acknowledged]
    print(f"{len(acknowledged)} writes acknowledged,",
          f"{len(group.promotions)} promotions")
    breaks = []
    for time, name, term, log in group.promotions:
        lost = [sid for at, sid in acknowledged if at < time and sid not in log]
        if lost:
            breaks.append(
                f"LOST: {name} was promoted to term {term} without "
                f"{len(lost)} acknowledged commits, the first {lost[0]}"
            )
    return breaks


deployment.main(case, os.path.dirname(os.path.abspath(__file__)))
