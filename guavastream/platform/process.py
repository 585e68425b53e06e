"""One process on the platform: settings, start, reload and stop."""

import asyncio
import contextlib
import os
import signal
import sys

from guavastream.exception import FindingsError, GuavastreamError
from guavastream.hosts.admin import AdminApi
from guavastream.http1 import Server
from guavastream.kernel import (
    configure_stdout_logs,
    new_event_loop,
    parse_address,
    part_logger,
)
from guavastream.platform.api import BesideApi, OperatorApi
from guavastream.platform.keys import KeyOrders
from guavastream.platform.settings import SETTINGS_VARIABLE, read_settings
from guavastream.platform.wire import DIALECT

__all__ = ["main", "run"]

# The settings may change without a signal.
REREAD_SECONDS = 1.0

log = part_logger("platform")


async def run(settings):
    """Serve until told to stop."""
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    host, handlers = _make(settings)
    servers = [
        Server(address=parse_address(address), handler=handler)
        for address, handler in handlers
    ]
    await host.start()
    for server in servers:
        await server.start()
    log.info("Serving.")
    rereading = asyncio.ensure_future(_reread(host, reload))
    failed = asyncio.ensure_future(host.wait_failed())
    stopped = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait({failed, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if failed.done():
            failed.result()
        if hasattr(host, "drain"):
            await host.drain()
    finally:
        rereading.cancel()
        for server in servers:
            await server.stop()
        await host.stop()


def _make(settings):
    if settings.data:
        from guavastream.hosts.control_host import ControlHost

        host = ControlHost(settings=settings)
        handlers = [(settings.api, OperatorApi(host=host).control)]
    else:
        from guavastream.hosts.server_host import ServerHost

        host = ServerHost(settings=settings, dialect=DIALECT, key_dialect=KeyOrders())
        api = BesideApi(host=host, settings=settings)
        handlers = [(settings.api, api.control), (settings.ready, api.ready)]
    handlers.append((settings.metrics, AdminApi(host=host).handle))
    return host, handlers


async def _reread(host, reload):
    """Take new seeds from the settings file, on SIGHUP or when it changed."""
    seen = _changed_at()
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REREAD_SECONDS):
                await reload.wait()
        if _changed_at() == seen and not reload.is_set():
            continue
        reload.clear()
        seen = _changed_at()
        try:
            host.take_seeds(read_settings().seeds)
            log.info("Settings were read again.")
        except FindingsError as error:
            log.error("The changed settings are not used: %s.", error)


def _changed_at():
    try:
        status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def main():
    """Run one process and return its exit status."""
    try:
        settings = read_settings()
    except FindingsError as error:
        for finding in error.findings:
            print(f"error: {finding}", file=sys.stderr)
        return 2
    configure_stdout_logs(level="INFO", host=settings.host)
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run(settings))
    except GuavastreamError as error:
        log.error("Cannot go on: %s: %s.", error.code, error)
        return 1
    return 0
