"""Lifecycle of a process on the platform: settings, start, reload and stop."""

import asyncio
import contextlib
import os
import signal
import sys

from guavastream.exception import FindingsError, GuavastreamError
from guavastream.hosts.admin import MAX_ADMIN_BODY_BYTES, AdminApi
from guavastream.http1 import Limits, Server
from guavastream.kernel import (
    configure_stdout_logs,
    new_event_loop,
    parse_address,
    part_logger,
)
from guavastream.platform.api import (
    MAX_CONFIG_BYTES,
    MAX_HEARTBEAT_BYTES,
    OperatorApi,
    ServerHostApi,
)
from guavastream.platform.keys import PlatformKeyDialect
from guavastream.platform.settings import SETTINGS_VARIABLE, read_settings
from guavastream.platform.wire import DIALECT

__all__ = ["main", "run"]

# The settings file is also polled, since it may change without a SIGHUP.
RELOAD_POLL_SECONDS = 1.0

log = part_logger("platform")


async def run(settings, *, started_at):
    """Serve until SIGTERM, SIGINT or a failure of the host.

    `started_at` is the time of `steady_time` at which the process started.
    """
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    host, endpoints = _create_host(settings, started_at)
    servers = [
        Server(
            address=parse_address(address),
            handler=handler,
            limits=Limits(body_bytes=max_body_bytes),
            capacity=host.capacity,
        )
        for address, handler, max_body_bytes in endpoints
    ]
    await host.start()
    for server in servers:
        await server.start()
    log.info("Serving.")
    reload_task = asyncio.ensure_future(_reload_seeds(host, reload))
    failed_task = asyncio.ensure_future(host.wait_failed())
    stopped_task = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait(
            {failed_task, stopped_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if failed_task.done():
            failed_task.result()
        if hasattr(host, "drain"):
            await host.drain()
    finally:
        reload_task.cancel()
        for server in servers:
            await server.stop()
        await host.stop()


def _create_host(settings, started_at):
    """Return the host, and address, handler and longest body of each endpoint."""
    if settings.data:
        from guavastream.hosts.control_host import ControlHost

        host = ControlHost(settings=settings)
        endpoints = [(settings.api, OperatorApi(host=host).handle, MAX_CONFIG_BYTES)]
    else:
        from guavastream.hosts.server_host import ServerHost

        host = ServerHost(
            settings=settings,
            dialect=DIALECT,
            key_dialect=PlatformKeyDialect(),
            started_at=started_at,
        )
        api = ServerHostApi(host=host, settings=settings)
        endpoints = [
            (settings.api, api.handle_instance, MAX_HEARTBEAT_BYTES),
            (settings.ready, api.handle_readiness, 0),
        ]
    admin = AdminApi(host=host)
    endpoints.append((settings.metrics, admin.handle, MAX_ADMIN_BODY_BYTES))
    return host, endpoints


async def _reload_seeds(host, reload):
    """Reload the seeds when the settings file changes or SIGHUP arrives."""
    known_stamp = _settings_file_stamp()
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELOAD_POLL_SECONDS):
                await reload.wait()
        if _settings_file_stamp() == known_stamp and not reload.is_set():
            continue
        reload.clear()
        known_stamp = _settings_file_stamp()
        try:
            host.update_seeds(read_settings().seeds)
            log.info("Reloaded the settings file.")
        except FindingsError as error:
            log.error("Ignored the changed settings file, which is invalid: %s.", error)


def _settings_file_stamp():
    try:
        status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def main(*, started_at):
    """Run one process and return its exit status; see `run`."""
    try:
        settings = read_settings()
    except FindingsError as error:
        for finding in error.findings:
            print(f"error: {finding}", file=sys.stderr)
        return 2
    configure_stdout_logs(level="INFO", host=settings.host)
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run(settings, started_at=started_at))
    except GuavastreamError as error:
        log.error("The process ends with an error: %s: %s.", error.code, error)
        return 1
    return 0
