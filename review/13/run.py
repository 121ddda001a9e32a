"""All machines act on an old configuration long after the store is back.

The store is silent for 4.5 s and cuts the watches that wait meanwhile. A
second after its return it accepts a configuration that moves a route to
another service.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True
import standin  # noqa: E402

HOST = "pupu13.example"
OLD, NEW = "cadastro", "rota"
CALLERS = 12
PAUSE_S = 0.05
# The dose of `platform_down`: how = "silent", for_s = 4.5.
SILENT_S = 4.5
CUT_AFTER_S = 2.5
# The dose of `platform_compact`: x = 5.5, stale reads are as many seconds old.
STALE_S = 5.5
CHANGED_AFTER_S = 1.0
CONTACT_S = standin.BOUNDS["ContactMs"] / 1000
APPLY_S = standin.BOUNDS["ConfigApplyMs"] / 1000
WATCHED_S = 12


def plan(version, service):
    made = standin.configuration(
        [{"Name": "ficha", "Host": HOST, "PathPrefix": "/ficha/",
          "Backend": service, "RouteKind": "safe", "MaxAttempts": 2,
          "DeadlineMs": 2000, "TargetLatencyMs": 400, "Priority": 2}],
        [standin.service(OLD), standin.service(NEW)])
    made["Version"] = version
    return made


class Timed(standin.Searcher):
    """Notes when a service ran a request."""

    def result(self, identity, start, body):
        self.deployment.ran[identity] = self.service
        return super().result(identity, start, body)


async def call(deployment, number):
    loop = asyncio.get_running_loop()
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
        target = f"/ficha/{identity}"
        deployment.sent[identity] = loop.time()
        deployment.record.add(f"send {identity} GET {target}")
        answer = await asyncio.wait_for(connection.exchange(
            "GET", target, [("Host", HOST), ("Request-Id", identity),
                            ("Deadline-Ms", 2000)]), 5)
        deployment.record.add(
            f"answer {identity} {answer.status if answer else 'closed'}")
        if answer is None or answer.status >= 300:
            connection.close()
            connection = None
        else:
            deployment.answered += 1
        await asyncio.sleep(PAUSE_S)
    if connection is not None:
        connection.close()


async def disturb(deployment, trouble):
    """Silence and return of the store, and a change of the configuration."""
    loop = asyncio.get_running_loop()
    store = deployment.store
    await asyncio.sleep(5)
    if trouble:
        deployment.record.add("the store is silent")
        store.is_silent = True
        store.lag_s = STALE_S
    await asyncio.sleep(CUT_AFTER_S)
    if trouble:
        deployment.record.add("watches cut")
        store.cut_watches()
    await asyncio.sleep(SILENT_S - CUT_AFTER_S)
    if trouble:
        deployment.record.add("the store answers again")
        store.is_silent = False
    deployment.back = loop.time()
    await asyncio.sleep(CHANGED_AFTER_S)
    await store.put("op/config", standin.json.dumps(plan(9, NEW)))
    deployment.acked = loop.time()
    deployment.record.add("version 9 acknowledged")
    await asyncio.sleep(WATCHED_S)
    deployment.done = True


async def case(trouble):
    deployment = standin.Deployment(HERE / "record.txt")
    deployment.random = standin.random.Random(13)
    deployment.answered = 0
    deployment.done = False
    deployment.sent = {}
    deployment.ran = {}
    try:
        for i in range(6):
            deployment.add_searcher(Timed, OLD if i < 3 else NEW,
                                    standin.ZONES[i % 3])
        if not await deployment.start(plan(7, OLD)):
            print("not run: the nodes are not ready")
            return 2
        await asyncio.gather(disturb(deployment, trouble),
                             *[call(deployment, i) for i in range(CALLERS)])
        # In touch: ContactMs after the store's return. In force: ConfigApplyMs
        # after the ack.
        due = max(deployment.acked + APPLY_S, deployment.back + CONTACT_S)
        old = [identity for identity, service in deployment.ran.items()
               if service == OLD and deployment.sent[identity] > due]
        latest = max([deployment.sent[identity] - deployment.acked
                      for identity, service in deployment.ran.items()
                      if service == OLD], default=0)
        for identity in old:
            deployment.record.add(f"OLD {identity} run by {OLD}, sent "
                                  f"{deployment.sent[identity] - due:.3f} s "
                                  "later than the bound")
    finally:
        await deployment.stop()
    print(f"{deployment.answered} answers, {len(old)} requests run by the old "
          f"service later than the bound, the latest sent {latest:.1f} s after "
          "the ack")
    if deployment.answered < 1000:
        return 2
    return 1 if old else 0


sys.exit(standin.main(case))
