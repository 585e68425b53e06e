"""Routes that change in a soak test, and requests by which hosts are checked."""

import asyncio
import json
import random
from dataclasses import dataclass

from guavastream.http1 import Client, IncompleteMessage, NotSent
from guavastream.platform.emulator import SERVICES, make_route
from guavastream.soak import Fault

__all__ = ["RouteChanges"]

# Pause between two changes, longer than one takes to be in force, so that each of them
# is checked on its own.
CHANGE_PAUSE_SECONDS = (2.5, 4.0)
IN_FORCE_SECONDS = 2.0
# Time for which a request that shows a newer version may be under way before one that
# was sent later must be handled by it.
OVERTAKING_SECONDS = 0.25
REQUEST_PAUSE_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 8.0
# Hosts are frozen for this long just before a change, longer than it takes to be in
# force, in this share of the changes.
FROZEN_SECONDS = (2.2, 4.0)
FREEZE_SHARE = 0.5
FREEZE_BEFORE_SECONDS = 0.1
NOT_FOUND = 404


@dataclass(kw_only=True)
class _Change:
    """A change that adds the route of its number, and moves another one."""

    number: int
    service: str
    sent_at: float
    acknowledged_at: float = float("inf")


class RouteChanges:
    """Changes routes, and checks that hosts handle requests by them in time.

    Each change adds a route and leads another one to the other service. Requests are
    sent all the time to all hosts, frozen ones too.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its hosts are checked.
    ledger : Ledger
        Receives the requests and the violations.
    seed : int
        Seed of the changes and of the frozen hosts.
    """

    def __init__(self, *, platform, ledger, seed):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._changes = []
        # Services that ran requests, by request id.
        self._services = {}
        # Newest change that a host has shown, and when, by name of the host.
        self._shown = {}

    def note_run(self, id, server):
        """Note that a `BackendServer` runs a request."""
        self._services[id] = server.service

    async def run(self):
        """Change routes and send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._change_routes(group))
            for server_host in self._platform.server_hosts:
                group.create_task(self._send_requests(group, server_host))

    # Changes

    async def _change_routes(self, group):
        number = 0
        while True:
            if self._rng.random() < FREEZE_SHARE:
                group.create_task(self._freeze_a_host())
                await asyncio.sleep(FREEZE_BEFORE_SECONDS)
            number += 1
            change = _Change(
                number=number,
                service=SERVICES[number % len(SERVICES)],
                sent_at=asyncio.get_running_loop().time(),
            )
            self._changes.append(change)
            await self._send_change(change)
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_SECONDS))

    async def _freeze_a_host(self):
        await self._platform.inject_fault(
            Fault(
                at=0.0,
                group="host",
                kind="freeze",
                target=self._rng.randrange(len(self._platform.server_hosts)),
                seconds=self._rng.uniform(*FROZEN_SECONDS),
            )
        )

    async def _send_change(self, change):
        """Send a change until it is acknowledged; other operators may overtake it."""
        routes = {
            "moving": make_route(
                "read", PathPrefix="/moving/", Service=change.service, Priority=2
            ),
            f"added-{change.number}": make_route(
                "read", PathPrefix=f"/added-{change.number}/", Service="plain"
            ),
        }
        while True:
            machine = self._rng.choice(self._platform.control_hosts)
            status, data = await self._platform.read_config(machine)
            if status == 200:
                base = int(json.loads(data)["Version"], 16)
                body = {"Version": f"{base + 1:08x}", "Upsert": {"Routes": routes}}
                status, _ = await self._platform.send_change(
                    machine, body, base, method=b"PATCH"
                )
                if status == 200:
                    change.acknowledged_at = asyncio.get_running_loop().time()
                    return
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    # Requests

    async def _send_requests(self, group, server_host):
        client = Client()
        while True:
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)
            if self._changes:
                number = self._rng.choice(self._changes[-2:]).number
                group.create_task(self._check_added(client, server_host, number))
                group.create_task(self._check_moving(client, server_host))

    async def _check_added(self, client, server_host, number):
        change, host = self._changes[number - 1], server_host.machine.name
        shown, shown_at = self._shown.get(host, (0, 0.0))
        sent_at, _, status = await self._send(client, server_host, f"added-{number}")
        if not status:
            return
        detail = f"added-{number} at {host}, sent at {sent_at:.3f}"
        if status != NOT_FOUND:
            newest = max((number, asyncio.get_running_loop().time()), (shown, shown_at))
            self._shown[host] = max(newest, self._shown.get(host, newest))
            return
        if sent_at > change.acknowledged_at + IN_FORCE_SECONDS:
            late = sent_at - change.acknowledged_at
            self._ledger.record_violation(
                "added routes are served", f"{detail}, {late:.2f} s after"
            )
        if number <= shown and sent_at > shown_at + OVERTAKING_SECONDS:
            self._ledger.record_violation(
                "hosts do not go back to older versions", f"{detail}, {shown} was shown"
            )

    async def _check_moving(self, client, server_host):
        sent_at, id, status = await self._send(client, server_host, "moving")
        service = self._services.get(id)
        if service is None:
            return
        ended_at = asyncio.get_running_loop().time()
        in_force = max(
            (
                change.number
                for change in self._changes
                if change.acknowledged_at + IN_FORCE_SECONDS < sent_at
            ),
            default=0,
        )
        if not in_force:
            return
        allowed = {
            change.service
            for change in self._changes
            if change.number >= in_force and change.sent_at < ended_at
        }
        if service not in allowed:
            self._ledger.record_violation(
                "requests follow their route",
                f"{id!r} at {server_host.machine.name}, sent at {sent_at:.3f}, ran at "
                f"{service} though change {in_force} leads elsewhere",
            )

    async def _send(self, client, server_host, name):
        """Send a request; return when it was sent, its id and status (0: no answer)."""
        loop = asyncio.get_running_loop()
        id = b"%s-%d" % (name.encode(), len(self._ledger.requests))
        target = f"/{name}/x".encode()
        self._ledger.record_request(id, b"GET", target, b"", idempotent=True)
        request = self._platform.make_request("read", id, 0, b"")
        sent_at = loop.time()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                address = server_host.machine.address("outbound")
                async with await client.open(address) as exchange:
                    exchange.send(b"GET", target, request.headers, b"")
                    answer = await exchange.answer()
                    await answer.body.read_up_to(1 << 20)
        except (NotSent, IncompleteMessage, TimeoutError):
            return sent_at, id, 0
        return sent_at, id, answer.status
