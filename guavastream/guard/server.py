"""Announcements, health probes and grants between a guard and its server."""

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
PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.3
MAX_FAILED_PROBES = 2
MIN_CLIENT_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
# A server that reports itself as unhealthy counts as alive if it answered a
# request within this time.
RECENT_SUCCESS_SECONDS = 1.0
GRANT_TIMEOUT_SECONDS = 0.3
GRANT_INTERVAL_SECONDS = 0.2
MAX_ANNOUNCEMENT_BYTES = 65536

log = part_logger("server")


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """Message that a backend server sends at its start and then every second.

    `boot` is a random id of this start of the server; `draining` asks for a
    graceful stop.
    """

    service: str
    address: str
    boot: str
    slots: int = 0
    draining: bool = False


@dataclass(frozen=True, kw_only=True)
class Grant:
    """The shards that a server may serve, and until when.

    Parameters
    ----------
    service : str
        Service of the server.
    member : int
        Member id; increases with each registration.
    until_ns : int
        CLOCK_MONOTONIC of the host at which the grant ends, in ns.
    version : int
        Index of the table the grant was made from; never decreases.
    epochs : dict of str to int
        Epoch by shard; requests under any other epoch are refused.
    """

    service: str
    member: int
    until_ns: int
    version: int
    epochs: dict[str, int] = field(default_factory=dict)


class ServerLink:
    """Receives announcements, probes the server's health and renews its grant.

    Parameters
    ----------
    membership : Membership
        Gets the announced server.
    admission : Admission
        Notified of each new start of the server.
    tables : TableHolder
        Holds the newest replicated table.
    sender : HttpSender
        Sends requests to the server.
    last_success_at : callable
        Returns the monotonic time of the server's last answer without a 5xx
        status.
    on_drain : callable
        Called once when the server asks for a graceful stop.
    """

    def __init__(
        self, *, membership, admission, tables, sender, last_success_at, on_drain
    ):
        self._last_success_at = last_success_at
        self._membership = membership
        self._admission = admission
        self._tables = tables
        self._sender = sender
        self._on_drain = on_drain
        self._loop = asyncio.get_running_loop()
        self._failed_probes = 0
        self._leaving = False

    def handle(self, exchange):
        """Handle one announcement, in a worker thread."""
        if exchange.path != ANNOUNCE_PATH or exchange.method != "POST":
            exchange.respond(404, {"code": "unknown_path"})
            return
        try:
            announcement = exchange.json(Announcement, MAX_ANNOUNCEMENT_BYTES)
            parse_address(announcement.address)
        except (ValueError, msgspec.DecodeError) as error:
            exchange.respond(400, {"code": "bad_announcement", "text": str(error)})
            return
        service = self._tables.table.declaration.service(announcement.service)
        if service is None:
            exchange.respond(404, {"code": "unknown_service"})
            return
        announced = ServerAnnouncement(
            service=announcement.service,
            address=announcement.address,
            boot=announcement.boot,
            slots=announcement.slots or service.slots,
        )
        self._loop.call_soon_threadsafe(
            self._process_announcement, announced, announcement.draining
        )
        exchange.respond(200, {"code": "ok", "member": self._membership.member})

    def stop(self):
        """Ignore further announcements."""
        self._leaving = True

    async def run(self):
        """Probe the server and renew its grant until cancelled."""
        await asyncio.gather(self._probe_health(), self._renew_grant())

    def _process_announcement(self, announced, draining):
        if draining or self._leaving:
            if not self._leaving:
                self._leaving = True
                self._on_drain()
            return
        previous = self._membership.announced
        if previous is None or previous.boot != announced.boot:
            self._admission.note_server_started()
            self._failed_probes = 0
            log.info("A new server of %s announced itself.", announced.service)
        self._membership.announce(announced)

    async def _probe_health(self):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            announced = self._membership.announced
            if announced is None:
                continue
            alive, refused = await asyncio.to_thread(self._check_health, announced)
            self._failed_probes = 0 if alive else self._failed_probes + 1
            if refused or self._failed_probes >= MAX_FAILED_PROBES:
                await self._handle_lost_server(announced)

    async def _handle_lost_server(self, announced):
        if self._membership.announced is not announced:
            return
        # The server refuses connections or does not answer. Departing now frees
        # its keys sooner than the end of the lease would.
        log.warning("Server of %s does not respond; departing.", announced.service)
        self._failed_probes = 0
        try:
            await self._membership.depart()
        except Exception as error:
            log.warning("Departure was not confirmed by the control plane: %s.", error)

    def _check_health(self, announced):
        """Return whether the server is alive, and whether it refused the connection."""
        try:
            answer = self._send(
                announced, "GET", HEALTH_PATH, None, PROBE_TIMEOUT_SECONDS
            )
        except AttemptFailed as error:
            return False, error.code == "unreachable"
        if answer < MIN_SERVER_ERROR_STATUS:
            return True, False
        # The server reports itself as unhealthy. The report may be late or wrong,
        # so the server counts as alive while it answers requests.
        return (
            self._loop.time() - self._last_success_at() < RECENT_SUCCESS_SECONDS,
            False,
        )

    async def _renew_grant(self):
        last_sent, index = None, -1
        while True:
            await self._tables.wait(index + 1, GRANT_INTERVAL_SECONDS)
            index = self._tables.table.index
            announced = self._membership.announced
            lease = self._membership.lease
            if announced is None or not lease.is_held:
                continue
            service = self._tables.table.declaration.service(announced.service)
            if service is None or not (service.checks_grants and service.has_shards):
                continue
            table = self._tables.table
            # New requests carry the end of the lease in a header. A renewed lease
            # only needs to be sent for requests that are running already.
            changed = (table.index, self._membership.member) != last_sent
            if not changed and not self._admission.running:
                continue
            last_sent = (table.index, self._membership.member)
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
            log.warning("Grant could not be sent to the server: %s.", error)
            return
        if status >= MIN_CLIENT_ERROR_STATUS:
            log.warning("Grant was rejected by the server: status %d.", status)

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
