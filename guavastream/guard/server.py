"""What a guard and its backend server say to each other, over HTTP."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from guavastream.kernel import parse_address, part_logger
from guavastream.membership import ServerAnnouncement
from guavastream.web import AttemptFailed

__all__ = ["Announcement", "Grant", "ServerLink"]

ANNOUNCE_PATH = "/announce"
GRANT_PATH = "/.guavastream/grant"
HEALTH_PATH = "/.guavastream/health"
PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.3
PROBES_LOST = 2
CLIENT_ERRORS = 400
SERVER_ERRORS = 500
TRUSTED_SECONDS = 1.0
GRANT_TIMEOUT_SECONDS = 0.3
GRANT_SECONDS = 0.2
MAX_ANNOUNCEMENT_BYTES = 65536

log = part_logger("server")


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """A backend server presents itself; sent at its start and every second.

    `boot` is drawn anew at each start of the server, `draining` asks for a
    graceful stop.
    """

    service: str
    address: str
    boot: str
    slots: int = 0
    draining: bool = False


@dataclass(frozen=True, kw_only=True)
class Grant:
    """All that a server may act for.

    Parameters
    ----------
    service : str
        Its service.
    member : int
        Member id; rises with each joining.
    until_ns : int
        CLOCK_MONOTONIC of the host at which the grant ends, in ns.
    version : int
        Table index it was made from; never goes back.
    epochs : dict of str to int
        Shard to epoch; the only epoch under which orders are taken.
    """

    service: str
    member: int
    until_ns: int
    version: int
    epochs: dict[str, int] = field(default_factory=dict)


class ServerLink:
    """Takes announcements, probes the server and keeps its grant fresh.

    Parameters
    ----------
    membership : Membership
        Told of the server.
    admission : Admission
        Told of cold starts.
    tables : TableHolder
        Says what the server owns.
    sender : HttpSender
        Reaches the server.
    served_at : callable
        Gives the clock's time of the last good answer of the server.
    on_drain : callable
        Called once when the server asks for its graceful stop.
    """

    def __init__(self, *, membership, admission, tables, sender, served_at, on_drain):
        self._served_at = served_at
        self._membership = membership
        self._admission = admission
        self._tables = tables
        self._sender = sender
        self._on_drain = on_drain
        self._loop = asyncio.get_running_loop()
        self._lost = 0
        self._leaving = False

    def handle(self, exchange):
        """Answer one announcement, in a worker thread."""
        if exchange.path != ANNOUNCE_PATH or exchange.method != "POST":
            exchange.respond(404, {"code": "unknown_path"})
            return
        try:
            said = exchange.json(Announcement, MAX_ANNOUNCEMENT_BYTES)
            parse_address(said.address)
        except (ValueError, msgspec.DecodeError) as error:
            exchange.respond(400, {"code": "bad_announcement", "text": str(error)})
            return
        service = self._tables.table.declaration.service(said.service)
        if service is None:
            exchange.respond(404, {"code": "unknown_service"})
            return
        announced = ServerAnnouncement(
            service=said.service,
            address=said.address,
            boot=said.boot,
            slots=said.slots or service.slots,
        )
        self._loop.call_soon_threadsafe(self._take, announced, said.draining)
        exchange.respond(200, {"code": "ok", "member": self._membership.member})

    def stop(self):
        """Take no more announcements."""
        self._leaving = True

    async def run(self):
        """Probe the server and renew its grant until cancelled."""
        await asyncio.gather(self._probe(), self._renew_grant())

    def _take(self, announced, draining):
        if draining or self._leaving:
            if not self._leaving:
                self._leaving = True
                self._on_drain()
            return
        before = self._membership.announced
        if before is None or before.boot != announced.boot:
            self._admission.started()
            self._lost = 0
            log.info("Server of %s announced itself.", announced.service)
        self._membership.announce(announced)

    async def _probe(self):
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            announced = self._membership.announced
            if announced is None:
                continue
            alive, refused = await asyncio.to_thread(self._ask_health, announced)
            self._lost = 0 if alive else self._lost + 1
            if refused or self._lost >= PROBES_LOST:
                await self._give_up(announced)

    async def _give_up(self, announced):
        if self._membership.announced is not announced:
            return
        # The server takes no connections or answers nothing. Departing now
        # gives its keys away sooner than the end of the lease would.
        log.warning("Server of %s is lost.", announced.service)
        self._lost = 0
        try:
            await self._membership.depart()
        except Exception as error:
            log.warning("Departure was not confirmed: %s.", error)

    def _ask_health(self, announced):
        """Return whether the server answered, and whether it refused."""
        try:
            answer = self._send(
                announced, "GET", HEALTH_PATH, None, PROBE_TIMEOUT_SECONDS
            )
        except AttemptFailed as error:
            return False, error.code == "unreachable"
        if answer < SERVER_ERRORS:
            return True, False
        # It answers, and says that it is not well. What it says may lag or
        # mislead; as long as requests are answered, it stays.
        return self._loop.time() - self._served_at() < TRUSTED_SECONDS, False

    async def _renew_grant(self):
        sent, index = None, -1
        while True:
            await self._tables.wait(index + 1, GRANT_SECONDS)
            index = self._tables.table.index
            announced = self._membership.announced
            lease = self._membership.lease
            if announced is None or not lease.is_held:
                continue
            service = self._tables.table.declaration.service(announced.service)
            if service is None or not (service.checks_grants and service.has_shards):
                continue
            table = self._tables.table
            # What comes new carries the end of the lease itself; only what
            # runs already needs to hear that the lease goes on.
            changed = (table.index, self._membership.member) != sent
            if not changed and not self._admission.running:
                continue
            sent = (table.index, self._membership.member)
            grant = self._grant(table, announced, lease.deadline)
            await asyncio.to_thread(self._send_grant, announced, grant)

    def _grant(self, table, announced, until):
        member = self._membership.member
        shards = table.shards[announced.service]
        epochs = {str(s): shards.epochs[s] for s in shards.owned_by(member)}
        for pin in table.pins.get(announced.service, {}).values():
            if pin.member == member:
                epochs[str(pin.shard)] = pin.epoch
        return Grant(
            service=announced.service,
            member=member,
            until_ns=int(until * 1e9),
            version=table.index,
            epochs=epochs,
        )

    def _send_grant(self, announced, grant):
        body = msgspec.json.encode(grant)
        try:
            status = self._send(
                announced, "PUT", GRANT_PATH, body, GRANT_TIMEOUT_SECONDS
            )
        except AttemptFailed as error:
            log.warning("Grant did not arrive: %s.", error)
            return
        if status >= CLIENT_ERRORS:
            log.warning("Grant was not taken: status %d.", status)

    def _send(self, announced, method, path, body, seconds):
        headers = {"Content-Type": "application/json"}
        answer = self._sender.send(
            announced.address,
            method,
            path,
            headers,
            body,
            seconds=seconds,
            idle=seconds,
        )
        for _ in answer.chunks():
            pass
        return answer.status
