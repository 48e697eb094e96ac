"""An instance says that it leaves, in the answer to a request that was sent
before its registration lapsed and came back."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r  # noqa: E402

# Bounds of the site.
DRAIN_S = 3.0
STABLE_S = 4.0
LAPSE_S = 3 * r.HEARTBEAT_S
# One instance of five is cut off.
STAYING = 4
# Enough requests at once that all instances get some.
AT_ONCE = 12
# The instance goes on serving for drainMs and a little longer, and then exits.
LONGER_S = 0.9


async def case(rig):
    passed_on = {}

    async def work(instance, request, writer):
        await asyncio.sleep(1.8 if request.target == "/book/long" else 0.9)
        return instance.ok(request)

    rig.store.put("op/config", r.config(1, {
        "book": r.route("/book/", "desk", kind="non_idempotent", timeout_ms=3000)},
        {"desk": r.service()}))
    leaving = await rig.instance("i-leaving", "desk", work)
    for number in range(STAYING):
        await rig.instance("i-staying-%d" % number, "desk", work)
    gateway = rig.gateway()
    gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")
    await asyncio.sleep(STABLE_S + 1)

    async def book(path, request_id):
        rig.record("client sends %s" % request_id)
        try:
            status, headers, _ = await r.call(
                "127.0.0.1", gateway.ports["front"],
                r.request_bytes("POST", path, request_id, 3000, b"bay"), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, headers = repr(error), {}
        if headers.get("server-leaving") == "1":
            passed_on.setdefault(headers["comfreystand-server-stamp"].split(".")[0],
                                 time.monotonic())
        rig.record("client gets %s stamp=%s leaving=%s for %s" %
                   (status, headers.get("comfreystand-server-stamp"),
                    headers.get("server-leaving"), request_id))
        return status

    if rig.trouble:
        # First cut between the instance and the store: no beat gets through, so
        # the entry is removed after three intervals.
        leaving.register()
        leaving.beats = False
        rig.record("i-leaving is cut from the store, just after a beat")
        await asyncio.sleep(LAPSE_S - 0.5)
    first = [asyncio.create_task(book("/book/long", "before-%d" % n)) for n in range(AT_ONCE)]
    await asyncio.sleep(0.5)
    if rig.trouble:
        rig.store.delete("servers/i-leaving")
        rig.record("the entry of i-leaving is removed")
        await asyncio.sleep(0.4)
        # The cut ends, one beat gets through, and then comes the second cut.
        leaving.register()
        rig.record("the entry of i-leaving is back; it is cut from the store again")

        async def lapse():
            await asyncio.sleep(LAPSE_S)
            rig.store.delete("servers/i-leaving")
            rig.record("the entry of i-leaving is removed again")

        lapsing = asyncio.create_task(lapse())
    # It begins to leave. It doesn't report draining, or can't.
    leaving.beats = False
    leaving.headers = "Server-Leaving: 1\r\n"
    rig.record("i-leaving begins to leave and says so in its answers")
    await asyncio.gather(*first)
    if "i-leaving" not in passed_on:
        raise RuntimeError("the instance got none of the first requests")
    since = passed_on["i-leaving"]
    await asyncio.sleep(since + DRAIN_S + 0.2 - time.monotonic())
    second = [asyncio.create_task(book("/book/bay", "after-%d" % n)) for n in range(AT_ONCE)]
    await asyncio.sleep(since + DRAIN_S + LONGER_S - time.monotonic())
    rig.record("i-leaving exits")
    await leaving.stop()
    results = await asyncio.gather(*second)
    if rig.trouble:
        await lapsing
    late = [request.id for when, request in leaving.runs
            if request.id.startswith("after-") and when > since + DRAIN_S]
    rig.record("%d requests that were sent later than %.1f s after the gateway passed on "
               "Server-Leaving reached i-leaving: %s; answers to all of them: %s" %
               (len(late), DRAIN_S, late, results))
    return bool(late)


r.main(case, __file__)
