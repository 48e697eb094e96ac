"""Some answers of an instance in trouble go on without end."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r  # noqa: E402

TIMEOUT_S = 1.2
DEADLINE_S = 2.5
LATE_S = 0.5
# The trouble lasts as long as the requests are sent: six seconds.
REQUESTS = 900
PAUSE_S = 0.006
WORK_S = 0.05
# Three instances of five spoil each twentieth of their answers.
INSTANCES = 5
SPOILING = 3
SPOILT_ONE_IN = 20


async def case(rig):
    async def answer(instance, request, writer):
        await asyncio.sleep(WORK_S)
        return instance.ok(request)

    async def answer_or_go_on(instance, request, writer):
        await asyncio.sleep(WORK_S)
        if not rig.trouble or len(instance.runs) % SPOILT_ONE_IN:
            return instance.ok(request)
        rig.record("%s answers %s with bytes without end" % (instance.name, request.id))
        writer.write(instance.head(200, request, "Comfreystand-Server-Stamp: %s.%s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n" %
                                   (instance.name, request.id)).encode())
        started = time.monotonic()
        try:
            while True:
                writer.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.02)
        finally:
            rig.record("the connection of %s was closed after %.2f s" %
                       (request.id, time.monotonic() - started))

    rig.store.put("op/config", r.config(1, {
        "look": r.route("/look/", "desk", timeout_ms=int(TIMEOUT_S * 1000))},
        {"desk": r.service()}))
    for number in range(INSTANCES):
        handle = answer_or_go_on if number < SPOILING else answer
        await rig.instance("i-%d" % number, "desk", handle)
    gateway = rig.gateway()
    gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")
    await asyncio.sleep(r.BOUNDS["stableMs"] / 1000 + 1)

    async def look(number):
        """How long the client waited for a final answer; None if it got none
        until its deadline."""
        sent_at = time.monotonic()
        request_id = "look-%03d" % number
        data = r.request_bytes("GET", "/look/%d" % number, request_id, int(DEADLINE_S * 1000))
        try:
            status, _, body = await r.call("127.0.0.1", gateway.ports["front"], data, DEADLINE_S)
            outcome = "%s with %d bytes" % (status, len(body))
            waited = time.monotonic() - sent_at
        except asyncio.TimeoutError:
            outcome, waited = "no final answer; the client leaves at its deadline", None
        except (OSError, asyncio.IncompleteReadError) as error:
            outcome = "a broken connection: %r" % error
            waited = time.monotonic() - sent_at
        rig.record("client gets %s for %s after %.2f s" %
                   (outcome, request_id, time.monotonic() - sent_at))
        return waited

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(look(number)))
        await asyncio.sleep(PAUSE_S)
    waits = await asyncio.gather(*tasks)
    long_ones = [w for w in waits if w is None or w > TIMEOUT_S]
    unanswered = [w for w in long_ones if w is None or w > TIMEOUT_S + LATE_S]
    rig.record("%d of %d requests lasted longer than timeoutMs, %d of these had no final "
               "answer %.1f s after it" % (len(long_ones), REQUESTS, len(unanswered), LATE_S))
    return len(unanswered) >= 8 and len(unanswered) > len(long_ones) / 4


r.main(case, __file__)
