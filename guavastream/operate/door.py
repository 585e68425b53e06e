"""Serves operators: changes go to the leader, questions are answered."""

import asyncio
import time
import uuid
from dataclasses import dataclass

import msgspec

from guavastream.control import AskControl, ChangeVoters
from guavastream.declare import parse_declaration
from guavastream.exception import FindingsError, GuavastreamError
from guavastream.state import (
    ApplyDeclaration,
    ChangeAnswer,
    SetDrained,
    UsePreset,
    shard_of,
)

__all__ = ["ChangeRequest", "OperatorDoor", "Status"]

CALL_SECONDS = 5.0
VOTERS_SECONDS = 35.0
POLL_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """An operator's change.

    `what` is apply, preset, drain or undrain; `value` the text of a
    declaration or a name. `wait` seconds are given to all live processes to
    have it in force.
    """

    what: str
    value: str
    author: str = ""
    expect: int = -1
    change: str = ""
    wait: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ChangeResult:
    """How a change ended; `behind` names the processes that lack it."""

    answer: ChangeAnswer
    change: str
    behind: tuple[str, ...] = ()
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Status:
    """The system as the leader sees it."""

    leader: str
    term: int
    revision: int
    preset: str
    drained: tuple[str, ...]
    voters: tuple[str, ...]
    services: dict
    hosts: tuple
    insecure: bool


class OperatorDoor:
    """Handles the exchanges of the command line.

    Parameters
    ----------
    host : str
        Own host, for `status`.
    control : ControlClient
        Reaches the leader.
    tables : TableHolder
        Newest table.
    recorder : Recorder
        Events of this process.
    loop : asyncio.AbstractEventLoop
        Runs the calls.
    token : str
        What operators must present; empty for none.
    """

    def __init__(self, *, host, control, tables, recorder, loop, token):
        self._host = host
        self._control = control
        self._tables = tables
        self._recorder = recorder
        self._loop = loop
        self._token = token

    def handle(self, exchange):
        """Answer one exchange, in a worker thread."""
        if not self._is_allowed(exchange):
            exchange.close_after()
            exchange.respond(401, {"code": "unauthorized", "text": "Wrong token."})
            return
        handlers = {
            ("GET", "status"): self._status,
            ("GET", "table"): self._table,
            ("GET", "history"): self._history,
            ("GET", "owners"): self._owners,
            ("GET", "events"): self._events,
            ("POST", "changes"): self._change,
            ("POST", "voters"): self._change_voters,
        }
        handler = handlers.get((exchange.method, exchange.path.strip("/")))
        if handler is None:
            exchange.respond(404, {"code": "unknown_path"})
            return
        try:
            handler(exchange)
        except FindingsError as error:
            found = [msgspec.to_builtins(f) for f in error.findings]
            exchange.respond(422, {"code": error.code, "findings": found})
        except (ValueError, msgspec.MsgspecError) as error:
            exchange.respond(400, {"code": "bad_request", "text": str(error)})
        except GuavastreamError as error:
            exchange.respond(503, {"code": error.code, "text": str(error)})

    def _is_allowed(self, exchange):
        if not self._token:
            return True
        import hmac

        given = exchange.header("Authorization").removeprefix("Bearer ")
        return hmac.compare_digest(given.encode(), self._token.encode())

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def _ask(self):
        return self._run(self._control.call(AskControl(), timeout=CALL_SECONDS))

    def _status(self, exchange):
        info = self._ask()
        table = self._tables.table
        services = {
            service.name: _service_status(table, service)
            for service in table.declaration.services
        }
        exchange.respond(
            200,
            Status(
                leader=info.leader,
                term=info.term,
                revision=table.revision,
                preset=table.preset,
                drained=table.drained,
                voters=tuple(sorted(info.voters.values())),
                services=services,
                hosts=info.hosts,
                insecure=not self._token,
            ),
        )

    def _table(self, exchange):
        table = self._tables.table
        item = {
            "revision": table.revision,
            "preset": table.preset,
            "declaration": msgspec.to_builtins(table.declaration),
        }
        exchange.respond(200, item)

    def _history(self, exchange):
        exchange.respond(200, list(self._tables.table.history))

    def _owners(self, exchange):
        table = self._tables.table
        name, key = exchange.query("service"), exchange.query("key")
        shards = table.shards.get(name)
        if shards is None:
            text = "Not a service divided by key."
            exchange.respond(404, {"code": "unknown_service", "text": text})
            return
        chosen = range(len(shards.owners))
        if key:
            chosen = [shard_of(key, len(shards.owners))]
        rows = [
            {
                "shard": shard,
                "epoch": shards.epochs[shard],
                "host": getattr(table.members.get(shards.owners[shard]), "host", ""),
            }
            for shard in chosen
        ]
        pin = table.pins.get(name, {}).get(key) if key else None
        pinned = getattr(table.members.get(pin.member), "host", "") if pin else ""
        exchange.respond(200, {"service": name, "pinned": pinned, "shards": rows})

    def _events(self, exchange):
        exchange.respond(200, self._recorder.recent())

    def _change(self, exchange):
        asked = exchange.json(ChangeRequest)
        command = self._make_command(asked)
        started = time.monotonic()
        answer = self._run(
            self._control.submit(command, timeout=CALL_SECONDS, result=ChangeAnswer)
        )
        behind = ()
        if answer.code == "ok" and asked.wait > 0:
            behind = self._wait_in_force(answer.revision, asked.wait)
        result = ChangeResult(
            answer=answer,
            change=command.change,
            behind=behind,
            seconds=time.monotonic() - started,
        )
        exchange.respond(200 if answer.code == "ok" else 409, result)

    def _make_command(self, asked):
        common = {
            "change": asked.change or uuid.uuid4().hex,
            "expect": asked.expect,
            "author": asked.author or "unknown",
            "at": time.time(),
        }
        if asked.what == "apply":
            made = parse_declaration(asked.value)
            return ApplyDeclaration(declaration=msgspec.msgpack.encode(made), **common)
        if asked.what == "preset":
            return UsePreset(preset=asked.value, **common)
        if asked.what in ("drain", "undrain"):
            drained = asked.what == "drain"
            return SetDrained(target=asked.value, drained=drained, **common)
        raise ValueError(f"{asked.what!r} is not a change")

    def _wait_in_force(self, revision, seconds):
        """Return the live hosts that do not report `revision` in time."""
        deadline = time.monotonic() + seconds
        while True:
            hosts = self._ask().hosts
            behind = tuple(h.host for h in hosts if h.revision < revision)
            if not behind or time.monotonic() >= deadline:
                return behind
            time.sleep(POLL_SECONDS)

    def _change_voters(self, exchange):
        asked = exchange.json(ChangeVoters)
        call = self._control.call(asked, timeout=VOTERS_SECONDS, attempt=VOTERS_SECONDS)
        exchange.respond(200, self._run(call))


def _service_status(table, service):
    servers = table.servers(service.name)
    shards = table.shards.get(service.name)
    return {
        "servers": [
            {
                "host": m.host,
                "zone": m.zone,
                "member": m.id,
                "drained": table.is_drained(m),
                "shards": len(shards.owned_by(m.id)) if shards else 0,
            }
            for m in servers
        ],
        "unowned": list(shards.owners).count(0) if shards else 0,
        "moving": len(table.moves.get(service.name, {})),
        "pinned": len(table.pins.get(service.name, {})),
    }
