"""A machine is lost for good; later others are restarted in turn.

Consumers ask the directory, each as often as the answers say. The check is
DRAIN's: no more than three answers, by machines in touch, name beside a running
machine one that was killed over ContactMs + 3 s before and hasn't started since.
"""
import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import deployment as d  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_MS = 5000     # of the site
CONTACT_S = CONTACT_MS / 1000
DEAD_S = CONTACT_S + 3
ALLOWED = 3
CONSUMERS = 90
NODES = [8, 8, 8]
RESTARTS = 11
GAP_S = 1.0
ZONES = ["quito-a", "quito-b", "ibarra-a"]


async def main(record):
    store = d.Store(record)
    await store.start("127.0.0.1")
    for i in range(6):
        await d.Searcher(store, record, f"i-registry-{i}", "registry", ZONES[i % 3]).start()
    store.put("op/config", d.plan(
        7, [d.route("registry", "/registry/", "safe", 2000, 400, Backend="registry")],
        [d.backend("registry", 200)]))
    fleet = d.Fleet(store, record, ZONES, NODES, bounds=dict(ContactMs=CONTACT_MS))
    running = set(fleet.nodes)
    disturbed = {}        # the last start or signal of each node
    named = {}            # how often each address was named before the loss
    lost = None
    lost_at = 0.0
    asked = answered = 0
    wrong = []
    stopping = False

    async def ask(node):
        nonlocal answered
        sent = time.monotonic()
        answer = await d.call_once(
            node.directory, "GET",
            f"/resolve?Name=dock.example&Region=sul-rs&Zone={node.zone}",
            [("Host", "dock.example")], timeout=1)
        if answer.status != 200:
            return 1.0
        body = json.loads(answer.body)
        answered += 1
        if lost is None:
            for address in body["addrs"]:
                named[address] = named.get(address, 0) + 1
        elif (lost.caller in body["addrs"] and node in running
              and sent - disturbed[node.name] > CONTACT_S and sent - lost_at > DEAD_S
              and any(other.caller in body["addrs"] for other in running)):
            wrong.append(sent)
            record.write(f"{node.name}, in touch for {sent - disturbed[node.name]:.1f} s, names "
                         f"{lost.name} {sent - lost_at:.1f} s after its end")
        return min(float(body["ttl_s"]), 5)

    async def consumer(zone):
        nonlocal asked
        near = [n for n in fleet.nodes if n.zone == zone]
        while not stopping:
            asked += 1
            wait = 0.2
            try:
                wait = await ask(random.choice(near))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(wait)

    try:
        await fleet.start()
        for node in fleet.nodes:
            disturbed[node.name] = time.monotonic()
        consumers = [asyncio.create_task(consumer(ZONES[i % 3])) for i in range(CONSUMERS)]
        await asyncio.sleep(CONTACT_S + 2)
        if answered < asked / 2:
            raise d.CannotRun("the directory does not answer")
        often = max(named, key=named.get)
        gone = next(n for n in fleet.nodes if n.caller == often)
        if TROUBLE:
            gone.signal(signal.SIGKILL)
            await gone.process.wait()
            running.discard(gone)
            lost, lost_at = gone, time.monotonic()
        await asyncio.sleep(DEAD_S + 1)
        # Not those that callers are sent to, so that nothing else changes.
        rest = [n for n in fleet.nodes if n.caller not in named][:RESTARTS]
        for node in rest:
            disturbed[node.name] = time.monotonic()
            node.signal(signal.SIGTERM)
            await asyncio.wait_for(node.process.wait(), 10)
            running.discard(node)
            await node.start()
            running.add(node)
            disturbed[node.name] = time.monotonic()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(CONTACT_S + 15)
        stopping = True
        await asyncio.gather(*consumers)
    finally:
        await fleet.end()
    text = (f"asked {asked}, answered {answered}; answers that name the lost machine "
            f"{len(wrong)}, allowed {ALLOWED}")
    record.write(text)
    print(text)
    return 1 if len(wrong) > ALLOWED else 0


if __name__ == "__main__":
    the_record = d.Record(os.path.join(HERE, "record.txt"))
    try:
        code = asyncio.run(main(the_record))
    except d.CannotRun as reason:
        print("cannot run:", reason)
        code = 2
    the_record.close()
    sys.exit(code)
