"""Serves operators: changes go to the leader, questions are answered."""

import asyncio
import time
import uuid
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from guavastream.control import AskControl, ChangeVoters
from guavastream.declare import parse_declaration
from guavastream.exception import FindingsError, GuavastreamError
from guavastream.http1 import IncompleteMessage
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
# Bytes of a declaration; thousands of services fit.
MAX_BODY_BYTES = 4 << 20
JSON = (b"Content-Type", b"application/json")


@dataclass(frozen=True, kw_only=True)
class _Reply:
    """An answer: `item` becomes JSON."""

    status: int
    item: object


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
    """Handles the requests of the command line.

    Parameters
    ----------
    control : ControlClient
        Reaches the leader.
    tables : TableHolder
        Newest table.
    recorder : Recorder
        Events of this process.
    clock : callable
        Monotonic time in seconds.
    token : str
        What operators must present; empty for none.
    """

    def __init__(self, *, control, tables, recorder, clock, token):
        self._control = control
        self._tables = tables
        self._recorder = recorder
        self._clock = clock
        self._token = token
        self._handlers = {
            (b"GET", b"status"): self._status,
            (b"GET", b"table"): self._table,
            (b"GET", b"history"): self._history,
            (b"GET", b"owners"): self._owners,
            (b"GET", b"events"): self._events,
            (b"POST", b"changes"): self._change,
            (b"POST", b"voters"): self._change_voters,
        }

    async def handle(self, request, responder):
        """Answer one request."""
        if self._is_allowed(request):
            try:
                reply = await self._reply(request)
            except IncompleteMessage:
                # The request ended early, or is larger than any declaration.
                responder.abort()
                return
        else:
            # Whoever guesses tokens pays a connection for each.
            request.keep_alive = False
            reply = _Reply(
                status=401, item={"code": "unauthorized", "text": "Wrong token."}
            )
        body = msgspec.json.encode(reply.item) + b"\n"
        await responder.send(reply.status, [JSON], body)

    async def _reply(self, request):
        handler = self._handlers.get((request.method, request.path.strip(b"/")))
        if handler is None:
            return _Reply(status=404, item={"code": "unknown_path"})
        try:
            return await handler(request)
        except FindingsError as error:
            found = [msgspec.to_builtins(f) for f in error.findings]
            return _Reply(status=422, item={"code": error.code, "findings": found})
        except (ValueError, msgspec.MsgspecError) as error:
            item = {"code": "bad_request", "text": str(error)}
            return _Reply(status=400, item=item)
        except GuavastreamError as error:
            return _Reply(status=503, item={"code": error.code, "text": str(error)})

    def _is_allowed(self, request):
        if not self._token:
            return True
        import hmac

        given = request.headers.get(b"authorization").removeprefix(b"Bearer ")
        return hmac.compare_digest(given, self._token.encode())

    async def _ask(self):
        return await self._control.call(AskControl(), timeout=CALL_SECONDS)

    async def _status(self, request):
        info = await self._ask()
        table = self._tables.table
        services = {
            service.name: _service_status(table, service)
            for service in table.declaration.services
        }
        status = Status(
            leader=info.leader,
            term=info.term,
            revision=table.revision,
            preset=table.preset,
            drained=table.drained,
            voters=tuple(sorted(info.voters.values())),
            services=services,
            hosts=info.hosts,
            insecure=not self._token,
        )
        return _Reply(status=200, item=status)

    async def _table(self, request):
        table = self._tables.table
        item = {
            "revision": table.revision,
            "preset": table.preset,
            "declaration": msgspec.to_builtins(table.declaration),
        }
        return _Reply(status=200, item=item)

    async def _history(self, request):
        return _Reply(status=200, item=list(self._tables.table.history))

    async def _owners(self, request):
        table = self._tables.table
        name, key = _query(request, "service"), _query(request, "key")
        shards = table.shards.get(name)
        if shards is None:
            text = "Not a service divided by key."
            return _Reply(status=404, item={"code": "unknown_service", "text": text})
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
        item = {"service": name, "pinned": pinned, "shards": rows}
        return _Reply(status=200, item=item)

    async def _events(self, request):
        return _Reply(status=200, item=self._recorder.recent())

    async def _change(self, request):
        asked = await _read_json(request, ChangeRequest)
        command = self._make_command(asked)
        started = self._clock()
        answer = await self._control.submit(
            command, timeout=CALL_SECONDS, result=ChangeAnswer
        )
        behind = ()
        if answer.code == "ok" and asked.wait > 0:
            behind = await self._wait_in_force(answer.revision, asked.wait)
        result = ChangeResult(
            answer=answer,
            change=command.change,
            behind=behind,
            seconds=self._clock() - started,
        )
        return _Reply(status=200 if answer.code == "ok" else 409, item=result)

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

    async def _wait_in_force(self, revision, seconds):
        """Return the live hosts that do not report `revision` in time."""
        deadline = self._clock() + seconds
        while True:
            hosts = (await self._ask()).hosts
            behind = tuple(h.host for h in hosts if h.revision < revision)
            if not behind or self._clock() >= deadline:
                return behind
            await asyncio.sleep(POLL_SECONDS)

    async def _change_voters(self, request):
        asked = await _read_json(request, ChangeVoters)
        answer = await self._control.call(
            asked, timeout=VOTERS_SECONDS, attempt=VOTERS_SECONDS
        )
        return _Reply(status=200, item=answer)


def _query(request, name):
    """Return the first value of a query parameter, or an empty string."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    return parse_qs(text).get(name, [""])[0]


async def _read_json(request, cls):
    """Return the body of a request as a type.

    Raises
    ------
    ValueError, msgspec.MsgspecError
        If it does not fit.
    """
    body, whole = await request.body.read_up_to(MAX_BODY_BYTES)
    if not whole:
        raise ValueError(f"the body is over {MAX_BODY_BYTES} bytes")
    return msgspec.json.decode(body, type=cls)


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
