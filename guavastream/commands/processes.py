"""`run` and `standin`: the long-running processes."""

import signal

from guavastream.commands.registry import command
from guavastream.kernel import (
    add_flags,
    configure_logs,
    load_settings,
)
from guavastream.slim import disable_ssl_import

__all__ = []


@command(
    "run",
    summary="Run the process that stands beside a backend server.",
    example="guavastream run --host h1 --zone leith-a --door 127.0.0.1:8001 \\\n"
    "    --guard 127.0.0.1:8101 --control 127.0.0.1:7001",
)
def _setup_run(parser):
    add_flags(parser)
    return _run


def _run(arguments):
    settings = load_settings(vars(arguments))
    disable_ssl_import()
    import asyncio

    from guavastream.daemon import run_node

    configure_logs(level=settings.log_level, host=settings.host)
    asyncio.run(run_node(settings))


@command(
    "standin",
    summary="Run a small stand-in for a backend server.",
    example="guavastream standin --service dutyboard --listen 127.0.0.1:9001 \\\n"
    "    --guard 127.0.0.1:8101",
)
def _setup_standin(parser):
    parser.add_argument("--service", required=True, help="service it serves")
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("--guard", required=True, help="IP:PORT of its guard")
    parser.add_argument(
        "--announce", default="", metavar="IP:PORT", help="address to announce"
    )
    parser.add_argument("--record", default="", help="file for its events")
    parser.add_argument("--slots", type=int, default=20, help="requests at a time")
    parser.add_argument(
        "--work-ms", type=float, default=5.0, help="time of one request"
    )
    parser.add_argument(
        "--cold-ms", type=float, default=0.0, help="further time when cold"
    )
    parser.add_argument(
        "--no-checks", action="store_true", help="take orders from anybody"
    )
    return _standin


def _standin(arguments):
    from guavastream.emulator import StandinServer, StandinSettings

    configure_logs(level="INFO", host=arguments.listen)
    server = StandinServer(
        settings=StandinSettings(
            service=arguments.service,
            listen=arguments.listen,
            guard=arguments.guard,
            announce=arguments.announce,
            record=arguments.record,
            slots=arguments.slots,
            work_ms=arguments.work_ms,
            cold_ms=arguments.cold_ms,
            checks_grants=not arguments.no_checks,
        )
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: server.stop())
    server.run()
