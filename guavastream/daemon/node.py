"""One process of the system: what its roles share, its start and its stop."""

import asyncio
import signal

from guavastream.exception import DamagedLog, Finding, FindingsError
from guavastream.kernel import ROLES, make_metrics, part_logger
from guavastream.leases import ControlClient, LeaseTiming
from guavastream.membership import Membership
from guavastream.messages.zmq_transport import ZmqTransport
from guavastream.state import ShardTableHolder
from guavastream.timeline import Recorder
from guavastream.web import HttpSender

__all__ = ["Node", "run_node"]

# Order of start; a drain goes the same way, the stop the other way round.
REQUEST_EVENTS = ("admitted", "answered")
ORDER = ("control", "guard", "operator", "door")

log = part_logger("node")


class Node:
    """A running process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.clock = asyncio.get_running_loop().time
        self.recorder = Recorder(
            host=settings.host,
            path=settings.timeline,
            limit=settings.timeline_mb << 20,
        )
        self.metrics = make_metrics(settings.statsd)
        self.transport = ZmqTransport(
            hybrid=self.recorder.clock, on_reconnect=self._note_reconnect
        )
        self.control = ControlClient(
            transport=self.transport, addresses=settings.control_addresses
        )
        self.tables = ShardTableHolder()
        self.sender = HttpSender()
        self.membership = Membership(
            host=settings.host,
            zone=settings.zone,
            region=settings.region,
            door=settings.door,
            control=self.control,
            tables=self.tables,
            clock=self.clock,
            timing=LeaseTiming.from_milliseconds(settings.lease_ms),
            record=self.record,
        )
        self.guard = None
        self._roles = []
        self._tasks = set()
        self._stopping = asyncio.Event()
        self._failed = None

    def record(self, kind, **fields):
        """Record an event, and count it unless it is one of a request."""
        if kind not in REQUEST_EVENTS:
            self.metrics.incr(f"events.{kind}")
        return self.recorder.record(kind, **fields)

    def spawn(self, coroutine):
        """Run a task for as long as the process; its failure ends it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def stop(self):
        """Begin the graceful shutdown; a second call changes nothing."""
        if self._stopping.is_set():
            log.info("Already shutting down.")
        self._stopping.set()

    async def run(self):
        """Serve until stopped, then drain.

        Raises
        ------
        FindingsError, DamagedLog
            If a role cannot start.
        """
        try:
            await self._start()
            log.info("Serving with roles %s.", ", ".join(self.role_names))
            await self._stopping.wait()
            if self._failed is None:
                await self._drain()
        finally:
            await self._end()
        if self._failed is not None:
            raise self._failed

    @property
    def role_names(self):
        """Names of the roles of this process."""
        return [name for name, _ in self._roles]

    async def _start(self):
        self.spawn(self.membership.run())
        for name in ORDER:
            if name not in ROLES.names or not ROLES.get(name).wanted(self.settings):
                continue
            role = ROLES.get(name)(node=self)
            try:
                await role.start()
            except OSError as error:
                text = f"Cannot be used ({error.strerror or error})."
                place = f"--{name if name != 'control' else 'peer'}"
                finding = Finding(place=place, code="address_in_use", text=text)
                raise FindingsError([finding]) from error
            self._roles.append((name, role))

    async def _drain(self):
        log.info("Shutting down gracefully.")
        self.record("stopping")
        deadline = self.clock() + self.settings.stop_seconds
        for _, role in self._roles:
            try:
                await role.drain(deadline)
            except Exception as error:
                log.warning("Drain went wrong: %s.", error)

    async def _end(self):
        for _, role in reversed(self._roles):
            await role.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.transport.close()
        self.sender.close()
        log.info("Stopped.")

    def _note_end(self, task):
        self._tasks.discard(task)
        if task.cancelled() or self._stopping.is_set():
            return
        # A part that has died while the others go on would leave a process
        # that holds a lease but does half its work; it is better gone.
        error = task.exception()
        if error is not None:
            log.error("A part failed: %r.", error)
            self._failed = error
            self._stopping.set()

    def _note_reconnect(self, address):
        self.metrics.incr("peer.reconnects")
        self.record("connection_dead", detail={"address": address})


async def run_node(settings):
    """Run one process until SIGTERM or SIGINT.

    Raises
    ------
    FindingsError, DamagedLog
        If it cannot start.
    """
    node = Node(settings=settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    try:
        await node.run()
    except DamagedLog:
        log.error("The control log is damaged; this process must not vote.")
        raise
