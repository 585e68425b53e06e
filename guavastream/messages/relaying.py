"""Calls that reach a control host by way of another host.

A host may be cut off from all control hosts while other hosts still reach it,
and its backend server is well. Without their words its keys run out within
seconds and go to the few servers that are left. So it has another host pass its
calls on. Nothing relies on who passed a call on: a hold counts from when the
heartbeat was sent and until after it came, however long it took.
"""

import random
from dataclasses import dataclass

from guavastream.exception import CallTimeout, NotLeader, PeerFailure
from guavastream.messages.codec import decode_message, encode_message, message
from guavastream.messages.transport import Transport

__all__ = ["RelayDesk", "Relayed", "RelayedAnswer", "RelayingTransport"]

# A host is cut off once no control host has answered anything for this long,
# although calls were made: somewhat over the longest time between two watches.
CUT_OFF_SECONDS = 1.1
CUT_OFF_CALLS = 3
# A host that is cut off tries a control host itself this often.
PROBE_SECONDS = 0.5
# Calls that a host passes on at a time; a watch lasts 0.6 s, and each host that
# is cut off makes some four calls a second.
MOST_RELAYED = 64
# Part of the time of a call that is left to the host that passes it on.
RELAYED_SHARE = 0.9
# Pause after a host said that it cannot pass calls on, most often because no
# host reaches a control host. Without it all hosts would ask each other without
# end while the control hosts are down.
REST_SECONDS = 0.4
CANNOT_RELAY = "cannot_relay"


@message
class Relayed:
    """Asks a host to call the control host `to` and wait `seconds` for it."""

    to: str
    tag: bytes
    body: bytes
    seconds: float


@message
class RelayedAnswer:
    """What a control host answered to a call that was passed on."""

    tag: bytes
    body: bytes


class RelayDesk:
    """Passes calls of hosts that are cut off on to control hosts.

    Parameters
    ----------
    transport : RelayingTransport
        Reaches the control hosts; only its direct way is used, so that no call
        is passed on twice.
    targets : callable
        Returns the peer addresses of control hosts; no other gets anything.
    count : callable, optional
        Counts an event by name.
    """

    def __init__(self, *, transport, targets, count=lambda name: None):
        self._transport = transport
        self._targets = targets
        self._count = count
        self._running = 0

    async def handle(self, request):
        """Answer one `Relayed`.

        Raises
        ------
        NotLeader, PeerFailure
            Carried to the caller; those of the control host among them.
        """
        if not isinstance(request, Relayed):
            raise PeerFailure(f"{type(request).__name__} is not for hosts.")
        if request.to not in self._targets():
            raise PeerFailure(f"{request.to} is no control host.")
        if self._transport.is_cut_off or self._running >= MOST_RELAYED:
            raise PeerFailure("This host cannot pass calls on.", code=CANNOT_RELAY)
        self._count("relayed")
        self._running += 1
        try:
            asked = decode_message(request.tag, request.body)
            answer = await self._transport.direct.call(
                request.to, asked, timeout=request.seconds
            )
        finally:
            self._running -= 1
        tag, body = encode_message(answer)
        return RelayedAnswer(tag=tag, body=body)


@dataclass(kw_only=True)
class _Heard:
    """When a control host last answered directly, and calls lost since."""

    at: float
    lost: int = 0


class RelayingTransport(Transport):
    """Calls control hosts directly, or by way of another host.

    Parameters
    ----------
    direct : Transport
        Reaches whoever can be reached.
    relays : callable
        Returns the peer addresses of other hosts.
    probes : tuple of type
        Messages that may be lost: those try the direct way now and then.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random, optional
        Chooses the host that passes calls on.
    on_change : callable, optional
        Told whether this host is cut off, whenever that changes.
    """

    def __init__(
        self,
        *,
        direct,
        relays,
        probes,
        clock,
        rng=None,
        on_change=lambda cut_off: None,
    ):
        self.direct = direct
        self._relays = relays
        self._probes = probes
        self._clock = clock
        self._rng = rng or random.Random()
        self._on_change = on_change
        self._heard = _Heard(at=clock())
        self._probed_at = clock()
        self._rests_until = clock()
        self._relay = ""
        self._told = False

    @property
    def is_cut_off(self):
        """Whether no control host can be reached directly."""
        silent = self._clock() - self._heard.at
        return self._heard.lost >= CUT_OFF_CALLS and silent >= CUT_OFF_SECONDS

    async def call(self, address, request, *, timeout):
        self._tell()
        if not self.is_cut_off or self._is_probe(request):
            return await self._call_directly(address, request, timeout)
        relay = self._choose()
        if not relay:
            return await self._call_directly(address, request, timeout)
        return await self._call_by(relay, address, request, timeout)

    def _is_probe(self, request):
        now = self._clock()
        due = isinstance(request, self._probes)
        if not due or now - self._probed_at < PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    async def _call_directly(self, address, request, timeout):
        try:
            answer = await self.direct.call(address, request, timeout=timeout)
        except CallTimeout:
            self._heard.lost += 1
            raise
        except (NotLeader, PeerFailure):
            self._note_heard()
            raise
        self._note_heard()
        return answer

    def _note_heard(self):
        self._heard = _Heard(at=self._clock())
        self._relay = ""
        self._tell()

    def _tell(self):
        if self._told != self.is_cut_off:
            self._told = self.is_cut_off
            self._on_change(self._told)

    def _choose(self):
        """Return the host that passes calls on now, or an empty string."""
        if self._clock() < self._rests_until:
            return ""
        known = self._relays()
        if self._relay not in known:
            self._relay = self._rng.choice(known) if known else ""
        return self._relay

    async def _call_by(self, relay, address, request, timeout):
        tag, body = encode_message(request)
        seconds = timeout * RELAYED_SHARE
        asked = Relayed(to=address, tag=tag, body=body, seconds=seconds)
        try:
            answer = await self.direct.call(relay, asked, timeout=timeout)
        except CallTimeout:
            # It may be cut off as well, or gone.
            self._leave(relay)
            raise
        except PeerFailure as error:
            if error.code == CANNOT_RELAY:
                self._leave(relay)
                self._rests_until = self._clock() + REST_SECONDS
            if error.code in (CallTimeout.code, CANNOT_RELAY):
                raise CallTimeout(f"{address} did not answer") from None
            raise
        return decode_message(answer.tag, answer.body)

    def _leave(self, relay):
        if self._relay == relay:
            self._relay = ""
