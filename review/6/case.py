"""One tenant's request crashes each searcher that begins to run it.

It comes again every second, with the same path, caller and body, at any
machine. Consumers of another tenant ask for the same path, which does them no
harm. The check is BUDGET's: such a request reaches searchers in no more than
three retries that machines in touch sent later than ContactMs after it had
crashed the third.
"""
import asyncio
import os
import random
import sys
import time
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import deployment as d  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = d.BOUNDS["ContactMs"] / 1000
ALLOWED = 3
SEARCHERS = 12
BACK_S = 3.0          # a searcher that crashed is back after this time
OTHERS_PER_S = 24.0
LENGTH_S = 30
PATH = "/archive/notice-17"


async def main(record):
    store = d.Store(record)
    await store.start("127.0.0.1")
    crashes = []
    reached = []
    lost_beside = Counter()

    class Fragile(d.Searcher):
        """Crashes when it begins to run a request of tenant alpha."""
        place = 0

        async def handle(self, call, writer):
            if (call.get("Tenant-Id") == "alpha" and " /archive/" in call.first
                    and call.get("Expect-Instance") == self.name):
                identity = call.get("Request-Id")
                now = time.monotonic()
                reached.append((now, identity))
                crashes.append(now)
                lost_beside[self.name] = self.running
                record.write(f"run {identity} at {self.name}, which crashes, "
                             f"{self.running} others running there")
                asyncio.create_task(self.crash())
                await asyncio.sleep(3600)
            await super().handle(call, writer)

        async def crash(self):
            port = int(self.address.split(":")[1])
            self.stop()
            store.remove("servers/" + self.name)
            await asyncio.sleep(BACK_S)
            await new_searcher(self.place, port)

    async def new_searcher(place, port=0):
        zone = ("caxias-a", "caxias-b", "bento-c")[place % 3]
        one = Fragile(store, record, f"i-{place}-{random.getrandbits(32):08x}", "archive",
                      zone, slots=4, work_s=0.03)
        one.place = place
        await one.start(port=port)

    for place in range(SEARCHERS):
        await new_searcher(place)
    store.put("op/config", d.plan(
        7, [d.route("archive", "/archive/", "safe", 3000, 400, Backend="archive")],
        [d.backend("archive", 37)],
        Tenants=[dict(Name="alpha", ApiKeys=["key-of-alpha"], RatePerS=0, Burst=0),
                 dict(Name="beta", ApiKeys=["key-of-beta"], RatePerS=0, Burst=0)]))
    fleet = d.Fleet(store, record, ["caxias-a", "caxias-b", "bento-c"], [1, 1, 1])
    answers = {"alpha": Counter(), "beta": Counter()}
    stopping = False

    async def request(tenant, identity):
        node = random.choice(fleet.nodes)
        record.write(f"sent {identity} to {node.name}")
        try:
            answer = await d.call_once(
                node.caller, "GET", PATH,
                [("Host", "dock.example"), ("Request-Id", identity), ("Deadline-Ms", "3000"),
                 ("Authorization", f"Bearer key-of-{tenant}")], timeout=5)
            outcome = answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        answers[tenant][outcome] += 1
        record.write(f"answered {identity} {outcome}")

    async def others():
        number, tasks = 0, []
        while not stopping:
            number += 1
            tasks.append(asyncio.create_task(request("beta", f"b{number}")))
            await asyncio.sleep(random.expovariate(OTHERS_PER_S))
        await asyncio.gather(*tasks)

    try:
        await fleet.start()
        # All machines are in touch from here on: nothing is done to them.
        await asyncio.sleep(CONTACT_S + 1)
        beside = asyncio.create_task(others())
        await asyncio.sleep(2)
        if answers["beta"][200] < OTHERS_PER_S:
            raise d.CannotRun("the deployment does not serve")
        tasks = []
        for number in range(LENGTH_S):
            if TROUBLE:
                tasks.append(asyncio.create_task(request("alpha", f"a{number}")))
            await asyncio.sleep(1)
        stopping = True
        await beside
        await asyncio.gather(*tasks)
        for node in fleet.nodes:
            if node.process.returncode is not None:
                raise d.CannotRun(f"{node.name} has ended")
    finally:
        await fleet.end()
    print("answers to alpha", dict(answers["alpha"]), "to beta", dict(answers["beta"]))
    late = set()
    if len(crashes) >= 3:
        third = sorted(crashes)[2]
        late = {identity for at, identity in reached if at > third + CONTACT_S}
    text = (f"searchers crashed {len(crashes)}; retries that reached searchers later than "
            f"{CONTACT_S:g} s after the third crash: {len(late)}, allowed {ALLOWED}")
    record.write(text)
    print(text)
    return 1 if len(late) > ALLOWED else 0


if __name__ == "__main__":
    the_record = d.Record(os.path.join(HERE, "record.txt"))
    try:
        code = asyncio.run(main(the_record))
    except d.CannotRun as reason:
        print("cannot run:", reason)
        code = 2
    the_record.close()
    sys.exit(code)
