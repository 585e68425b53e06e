"""Grant and release calls in the format of the platform's backend servers."""

import msgspec

from guavastream.platform.units import format_time
from guavastream.relay import (
    KeyDialect,
    KeyOutcome,
    KeyResult,
)
from guavastream.routes import Granting

__all__ = ["GRANTING_BY_NAME", "PlatformKeyDialect"]

# Values of `Grants` in settings and configurations.
GRANTING_BY_NAME = {"heartbeat": Granting.HEARTBEAT, "request": Granting.CALL}

GRANT_PATH = b"/api/grant"
RELEASE_PATH = b"/api/release"
OUTCOME_BY_STATUS = {
    200: KeyOutcome.DONE,
    409: KeyOutcome.FENCED,
    # The server could not parse the call (400), or another server has taken over
    # the address (421).
    400: KeyOutcome.REJECTED,
    421: KeyOutcome.REJECTED,
}
# Longer handovers are invalid and dropped: the next owner of the keys is slow for a
# while, but messages that carry the row stay small.
MAX_HANDOVER_LENGTH = 256


class _KeyCallBody(msgspec.Struct, rename="pascal", omit_defaults=True):
    # Despite its name, this is the last key of the range, not a version.
    target_version: int
    fence: int = msgspec.field(name="fence")
    # `from` is a Python keyword.
    first: int = msgspec.field(name="From")
    hold: str = ""
    handover: str = ""


class PlatformKeyDialect(KeyDialect):
    """Encodes grants and releases as HTTP calls to a backend server's own address."""

    def headers(self, instance, id):
        return [
            (b"Host", instance.address.encode()),
            (b"Request-Id", id),
            (b"Content-Type", b"application/json"),
            (b"Expected-Instance", instance.server_name.encode()),
        ]

    def encode(self, call):
        body = _KeyCallBody(
            first=call.first,
            target_version=call.last,
            fence=call.fence,
            hold=format_time(call.hold) if call.hold else "",
            handover=call.handover if call.hold else "",
        )
        return GRANT_PATH if call.hold else RELEASE_PATH, msgspec.json.encode(body)

    def answered_id(self, headers):
        return headers.get(b"request-id")

    def decode(self, status, headers):
        outcome = OUTCOME_BY_STATUS.get(status)
        if headers.get(b"not-executed"):
            outcome = KeyOutcome.REJECTED
        if outcome is None:
            return None
        handover = headers.get(b"handover")
        if len(handover) > MAX_HANDOVER_LENGTH or not handover.isascii():
            handover = b""
        return KeyResult(outcome=outcome, handover=handover.decode())
