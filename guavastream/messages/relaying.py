"""Calls to control hosts, relayed by another host where there is no direct path.

A host may lose contact with all control hosts while other hosts can still reach it
and its backend server is healthy. Without answers from a control host its keys would
expire within seconds and move to the few remaining servers, so it asks another host
to relay its calls. Safety does not depend on the relay or its delay: a host counts
its hold on keys from when it sent the heartbeat, and the control plane from when the
heartbeat arrived.
"""

import random
from dataclasses import dataclass

from guavastream.exception import CallTimeout, NotLeader, PeerFailure
from guavastream.messages.codec import decode_message, encode_message, message
from guavastream.messages.transport import Transport

__all__ = ["RelayService", "RelayedCall", "RelayedAnswer", "RelayingTransport"]

# A host counts as cut off if it has had no direct answer from any control host for
# this long and has lost this many calls since the last one. The time is slightly
# longer than the longest interval between two watches.
CUT_OFF_SECONDS = 1.1
CUT_OFF_LOST_CALLS = 3
# Interval at which a host that is cut off tries a direct call.
PROBE_SECONDS = 0.5
# Calls that a host relays at the same time. A watch lasts 0.6 s, and each host that
# is cut off makes about four calls a second.
MAX_RELAYED_CALLS = 64
# Share of a call's timeout that the relay may use for its own call.
RELAY_TIMEOUT_SHARE = 0.9
# Pause in relaying after a host refused to relay, usually because no host can reach
# a control host. Without it all hosts would keep calling each other while the
# control hosts are down.
RELAY_PAUSE_SECONDS = 0.4
CANNOT_RELAY = "cannot_relay"


@message(tag="Relayed")
class RelayedCall:
    """Asks a host to call the control host `to` with a timeout of `seconds`.

    `tag` and `body` are those of the encoded call.
    """

    to: str
    tag: bytes
    body: bytes
    seconds: float


@message
class RelayedAnswer:
    """Encoded answer of a control host to a relayed call."""

    tag: bytes
    body: bytes


class RelayService:
    """Relays calls of hosts that are cut off to control hosts.

    Parameters
    ----------
    transport : RelayingTransport
        Transport to the control hosts. Only its direct transport is used, so that
        no call is relayed twice.
    targets : callable
        Returns the peer addresses of the control hosts. Calls to any other address
        are refused.
    count : callable, optional
        Called with the name of each event to count.
    """

    def __init__(self, *, transport, targets, count=lambda name: None):
        self._transport = transport
        self._targets = targets
        self._count = count
        self._running = 0

    async def handle(self, request):
        """Relay one `RelayedCall` and return its `RelayedAnswer`.

        Raises
        ------
        NotLeader, PeerFailure
            If this host cannot relay the call, or the control host answered with
            this error.
        CallTimeout
            If the control host did not answer in time.
        BadMessage
            If the call cannot be decoded.
        """
        if not isinstance(request, RelayedCall):
            raise PeerFailure(f"Hosts do not handle {type(request).__name__}.")
        if request.to not in self._targets():
            raise PeerFailure(f"{request.to} is not a control host.")
        if self._transport.is_cut_off or self._running >= MAX_RELAYED_CALLS:
            raise PeerFailure("This host cannot relay calls.", code=CANNOT_RELAY)
        self._count("relayed")
        self._running += 1
        try:
            control_request = decode_message(request.tag, request.body)
            answer = await self._transport.direct.call(
                request.to, control_request, timeout=request.seconds
            )
        finally:
            self._running -= 1
        tag, body = encode_message(answer)
        return RelayedAnswer(tag=tag, body=body)


@dataclass(kw_only=True)
class _DirectContact:
    """Time of the last direct answer of a control host, and calls lost since."""

    answered_at: float
    lost_calls: int = 0


class RelayingTransport(Transport):
    """Calls control hosts directly, or through another host while cut off.

    Parameters
    ----------
    direct : Transport
        Transport without relaying.
    relays : callable
        Returns the peer addresses of other hosts.
    probes : tuple of type
        Types of messages that may be lost. While this host is cut off, one of them
        is sent directly every `PROBE_SECONDS` to detect that the direct path works
        again.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random, optional
        Chooses the host that relays calls.
    on_change : callable, optional
        Called with the new value whenever `is_cut_off` has changed.
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
        self._contact = _DirectContact(answered_at=clock())
        self._probed_at = clock()
        self._paused_until = clock()
        self._relay = ""
        self._reported = False

    @property
    def is_cut_off(self):
        """Whether direct calls to the control hosts have stopped being answered."""
        silence = self._clock() - self._contact.answered_at
        return (
            self._contact.lost_calls >= CUT_OFF_LOST_CALLS
            and silence >= CUT_OFF_SECONDS
        )

    async def call(self, address, request, *, timeout):
        self._report_change()
        if not self.is_cut_off or self._is_probe(request):
            return await self._call_directly(address, request, timeout)
        relay = self._choose_relay()
        if not relay:
            return await self._call_directly(address, request, timeout)
        return await self._call_through(relay, address, request, timeout)

    async def call_indirectly(self, address, request, *, timeout):
        relay = self._choose_relay()
        if not relay:
            return await self.call(address, request, timeout=timeout)
        return await self._call_through(relay, address, request, timeout)

    def _is_probe(self, request):
        now = self._clock()
        may_probe = isinstance(request, self._probes)
        if not may_probe or now - self._probed_at < PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    async def _call_directly(self, address, request, timeout):
        try:
            answer = await self.direct.call(address, request, timeout=timeout)
        except CallTimeout:
            self._contact.lost_calls += 1
            raise
        except (NotLeader, PeerFailure):
            self._record_answer()
            raise
        self._record_answer()
        return answer

    def _record_answer(self):
        self._contact = _DirectContact(answered_at=self._clock())
        self._relay = ""
        self._report_change()

    def _report_change(self):
        if self._reported != self.is_cut_off:
            self._reported = self.is_cut_off
            self._on_change(self._reported)

    def _choose_relay(self):
        """Return the address of a host to relay a call, or an empty string.

        Until one has relayed a call, each call goes through another host: many hosts
        may be cut off at the same time.
        """
        if self._clock() < self._paused_until:
            return ""
        hosts = self._relays()
        if self._relay in hosts:
            return self._relay
        return self._rng.choice(hosts) if hosts else ""

    async def _call_through(self, relay, address, request, timeout):
        tag, body = encode_message(request)
        seconds = timeout * RELAY_TIMEOUT_SHARE
        relayed_call = RelayedCall(to=address, tag=tag, body=body, seconds=seconds)
        try:
            answer = await self.direct.call(relay, relayed_call, timeout=timeout)
        except CallTimeout:
            # The relay may be cut off as well, or down.
            self._forget_relay(relay)
            raise
        except PeerFailure as error:
            if error.code == CANNOT_RELAY:
                self._forget_relay(relay)
                self._paused_until = self._clock() + RELAY_PAUSE_SECONDS
            if error.code in (CallTimeout.code, CANNOT_RELAY):
                raise CallTimeout(f"{address} did not answer") from None
            self._relay = relay
            raise
        self._relay = relay
        return decode_message(answer.tag, answer.body)

    def _forget_relay(self, relay):
        if self._relay == relay:
            self._relay = ""
