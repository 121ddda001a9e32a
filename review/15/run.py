"""A searcher that has left still gets requests.

Searchers of one service are replaced one after the other. They never report
that they drain: their entry is removed, and they serve for DrainMs more. At
each removal the store has just cut the watches that were waiting.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True
import standin  # noqa: E402

HOST = "pupu15.example"
SERVICE = "facturacion"
CALLERS = 24
PAUSE_S = 0.02
DRAIN_S = standin.BOUNDS["DrainMs"] / 1000
# A searcher serves a little longer than DrainMs, and then exits.
LINGER_S = DRAIN_S + 0.12
WORK_S = 0.05
REPLACED = 12
# Between the cut of the watches and the removal of the entry.
REMOVED_AFTER_S = 0.02


class Timed(standin.Searcher):
    """Notes the requests that reach it after its entry was removed."""

    removed = None

    def __init__(self, *words, **options):
        super().__init__(*words, **options)
        self.work_s = WORK_S
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def handle(self, writer, start, fields, body):
        now = asyncio.get_running_loop().time()
        if self.removed is not None:
            self.deployment.after.append(now - self.removed)
            if now - self.removed > DRAIN_S:
                identity = standin.find(fields, "Request-Id")
                self.deployment.record.add(
                    f"arrival {self.name} {identity} "
                    f"{now - self.removed:.3f} s after the removal")
        await super().handle(writer, start, fields, body)

    async def leave(self):
        await self.deployment.store.remove("servers/" + self.name)
        self.removed = asyncio.get_running_loop().time()
        self.deployment.record.add(f"removed {self.name}")
        await asyncio.sleep(LINGER_S)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.deployment.record.add(f"exit {self.name}")


async def call(deployment, number):
    node = deployment.nodes[number % len(deployment.nodes)]
    connection = None
    while not deployment.done:
        if connection is None:
            addresses = await deployment.resolve(node, HOST)
            if not addresses:
                await asyncio.sleep(0.2)
                continue
            connection = await standin.Connection.open(
                deployment.random.choice(addresses))
        identity = deployment.next_identity()
        target = f"/factura/{identity}"
        deployment.record.add(f"send {identity} POST {target}")
        answer = await asyncio.wait_for(connection.exchange(
            "POST", target, [("Host", HOST), ("Request-Id", identity),
                             ("Deadline-Ms", 2000)], b"one invoice"), 5)
        deployment.record.add(
            f"answer {identity} {answer.status if answer else 'closed'}")
        if answer is None or answer.status >= 300:
            ran = [name for run, name in deployment.runs if run == identity]
            if ran:
                deployment.lost += 1
                deployment.record.add(f"LOST {identity} ran at {ran}")
            connection.close()
            connection = None
        else:
            deployment.answered += 1
        await asyncio.sleep(PAUSE_S)
    if connection is not None:
        connection.close()


async def replace_all(deployment, trouble):
    loop = asyncio.get_running_loop()
    for i in range(REPLACED):
        old = deployment.searchers[i]
        fresh = deployment.add_searcher(Timed, SERVICE, old.zone, slots=8)
        await fresh.start()
        await asyncio.sleep(1.5)
        if trouble:
            deployment.store.cut_watches()
            deployment.record.add("watches cut")
            await asyncio.sleep(REMOVED_AFTER_S)
        await old.leave()
        await asyncio.sleep(1)
    deployment.done = True


async def case(trouble):
    deployment = standin.Deployment(HERE / "record.txt")
    deployment.random = standin.random.Random(15)
    deployment.answered = 0
    deployment.after = []
    deployment.lost = 0
    deployment.done = False
    try:
        for i in range(4):
            deployment.add_searcher(Timed, SERVICE, standin.ZONES[i % 3], slots=8)
        ready = await deployment.start(standin.configuration(
            [{"Name": "factura", "Host": HOST, "PathPrefix": "/factura/",
              "Backend": SERVICE, "RouteKind": "unsafe", "MaxAttempts": 2,
              "DeadlineMs": 2000, "TargetLatencyMs": 400, "Priority": 2}],
            [standin.service(SERVICE)]))
        if not ready:
            print("not run: the nodes are not ready")
            return 2
        await asyncio.gather(replace_all(deployment, trouble),
                             *[call(deployment, i)
                               for i in range(CALLERS)])
    finally:
        await deployment.stop()
    late = [after for after in deployment.after if after > DRAIN_S]
    latest = max(deployment.after, default=0)
    print(f"{deployment.answered} answers, {len(late)} requests later than "
          f"{DRAIN_S:.0f} s after the removal, the latest {latest:.3f} s; "
          f"{deployment.lost} requests ran and were lost")
    if deployment.answered < 1000:
        return 2
    return 1 if late else 0


sys.exit(standin.main(case))
