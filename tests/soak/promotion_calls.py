"""Replaces primaries while the leading VM is cut off from the platform, killed,
stopped or asked to stop, or while the platform is slow, in the moments before
its promotion call. Real processes on loopback; the calls and tokens that the
platform receives are checked.

    python3 -B tests/soak/promotion_calls.py SEED [PROXY]

PROXY is the program, by default that of deploy/system.toml. Exits with 1 when a
token is lower than one before, 2 when the run could not be made. A run takes
75 s.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))

import deployment  # noqa: E402

ROUNDS_S = 70
LEAVE_AFTER_S = 9.0
# From the release of a primary to the promotion call pass 1.6 s and a little.
BEFORE_CALL_S = (1.0, 1.65)
# Longest time for which the platform holds back a call.
HOLD_S = 2.0
# A process that continues gets this long before a cut heals.
CONTINUE_S = 0.3


class Soak:
    def __init__(self, system, seed):
        self.system = system
        self.seed = seed
        self.random = random.Random(seed)
        self.hold_s = 0.0
        self.troubles = []
        handle = system.promotions.server.handle

        async def handle_late(*request):
            await asyncio.sleep(self.hold_s * self.random.random())
            return await handle(*request)

        system.promotions.server.handle = handle_late

    async def sleep(self, shortest_s, longest_s):
        await asyncio.sleep(self.random.uniform(shortest_s, longest_s))

    async def run(self):
        number = 0
        while True:
            primary = await self.system.settled_primary()
            number += 1
            name = f"i-{self.seed:02x}{number:06x}"
            await self.system.release(primary, name, LEAVE_AFTER_S)
            await self.sleep(*BEFORE_CALL_S)
            trouble = self.random.choice(
                ["cut", "cut_kill", "cut_term", "cut_stop",
                 "stop", "kill", "term", "slow"]
            )
            self.troubles.append(trouble)
            await self.make(trouble, self.system.leader())
            await self.sleep(3, 6)

    async def make(self, trouble, leader):
        if trouble == "slow":
            await self.hold_back_calls(leader)
            return
        is_cut = trouble.startswith("cut")
        if is_cut:
            leader.cut_from_platform()
            await self.sleep(0.3, 2.5)
        if trouble.endswith("kill"):
            await leader.kill_and_restart(self.random.uniform(0.2, 3))
        if trouble.endswith("term"):
            await self.restart(leader)
        if trouble.endswith("stop"):
            leader.signal(signal.SIGSTOP)
            await self.sleep(0.5, 9)
            leader.signal(signal.SIGCONT)
            await asyncio.sleep(CONTINUE_S)
        if is_cut:
            await self.sleep(3, 8)
            leader.heal()

    async def hold_back_calls(self, leader):
        self.hold_s = HOLD_S
        await self.sleep(1, 3)
        if self.random.random() < 0.6:
            await leader.kill_and_restart(self.random.uniform(0.2, 1.5))
        await self.sleep(1, 3)
        self.hold_s = 0.0

    async def restart(self, vm):
        vm.signal(signal.SIGTERM)
        for _ in range(80):
            if vm.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        else:
            vm.signal(signal.SIGKILL)
        await self.sleep(0.2, 1.5)
        vm.start()


def main():
    seed = int(sys.argv[1])
    proxy = sys.argv[2] if len(sys.argv) > 2 else None

    async def case(system):
        writers = [
            deployment.Writer(system, f"client-{number}", vm, 0.2)
            for number, vm in enumerate(system.vms)
        ]
        for writer in writers:
            system.spawn(writer.run())
        await asyncio.sleep(2)
        soak = Soak(system, seed)
        system.spawn(soak.run())
        await asyncio.sleep(ROUNDS_S)
        for writer in writers:
            writer.is_over = True
        calls = system.promotions.calls
        print(f"seed {seed}: {len(calls)} promotion calls, "
              f"{len({token for _, _, token, _ in calls})} tokens, "
              f"troubles: {' '.join(soak.troubles)}")
        return [
            f"ONE: {holder} sent a promotion of {name} with token {token}; the "
            f"platform had seen {seen}"
            for holder, token, seen, name in system.promotions.lower_tokens
        ]

    if proxy:
        begin = deployment.Deployment.start

        async def begin_with_proxy(system, *arguments):
            system.command = [proxy]
            await begin(system, *arguments)

        deployment.Deployment.start = begin_with_proxy
    deployment.main(case, tempfile.mkdtemp(prefix="laburnumkeel-soak-"))


if __name__ == "__main__":
    main()
