"""The daemon process: the state its roles share, its startup and its shutdown."""

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

# Events of single requests are recorded in the timeline but not counted as metrics.
REQUEST_EVENTS = ("admitted", "answered")

# Roles are started and drained in this order, and stopped in reverse order.
ROLE_START_ORDER = ("control", "guard", "operator", "door")

log = part_logger("node")


class Node:
    """A daemon process with its roles and the state that they share.

    Parameters
    ----------
    settings : Settings
        The validated settings.
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
            hybrid=self.recorder.clock, on_reconnect=self._record_reconnect
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
        self._stop_requested = asyncio.Event()
        self._failure = None

    def record(self, kind, **fields):
        """Record an event; also count it, unless it is a per-request event."""
        if kind not in REQUEST_EVENTS:
            self.metrics.incr(f"events.{kind}")
        return self.recorder.record(kind, **fields)

    def spawn(self, coroutine):
        """Start a background task; if it fails, the process stops."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def stop(self):
        """Start the graceful shutdown; further calls have no effect."""
        if self._stop_requested.is_set():
            log.info("Shutdown is already in progress.")
        self._stop_requested.set()

    async def run(self):
        """Start the roles, serve until stopped, then drain and stop the roles.

        Raises
        ------
        FindingsError, DamagedLog
            If a role cannot be started.
        """
        try:
            await self._start()
            log.info("Serving with roles: %s.", ", ".join(self.role_names))
            await self._stop_requested.wait()
            if self._failure is None:
                await self._drain()
        finally:
            await self._shut_down()
        if self._failure is not None:
            raise self._failure

    @property
    def role_names(self):
        """Names of the roles that have been started."""
        return [name for name, _ in self._roles]

    async def _start(self):
        self.spawn(self.membership.run())
        for name in ROLE_START_ORDER:
            if name not in ROLES.names or not ROLES.get(name).wanted(self.settings):
                continue
            role = ROLES.get(name)(node=self)
            try:
                await role.start()
            except OSError as error:
                text = f"The role cannot start ({error.strerror or error})."
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
                log.warning("A role failed to drain: %s.", error)

    async def _shut_down(self):
        for _, role in reversed(self._roles):
            await role.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.transport.close()
        self.sender.close()
        log.info("Stopped.")

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if task.cancelled() or self._stop_requested.is_set():
            return
        # Stop the whole process. If the other tasks went on, it would keep its
        # lease but do only part of its work.
        error = task.exception()
        if error is not None:
            log.error("A background task failed; stopping the process: %r.", error)
            self._failure = error
            self._stop_requested.set()

    def _record_reconnect(self, address):
        self.metrics.incr("peer.reconnects")
        self.record("connection_dead", detail={"address": address})


async def run_node(settings):
    """Run one process until SIGTERM or SIGINT.

    Raises
    ------
    FindingsError, DamagedLog
        If the process cannot be started.
    """
    node = Node(settings=settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.stop)
    try:
        await node.run()
    except DamagedLog:
        log.error(
            "The control log is damaged, so this process must not vote; stopping."
        )
        raise
