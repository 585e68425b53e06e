"""Orders about keys as the platform's backend servers take them."""

import msgspec

from guavastream.platform.units import format_time
from guavastream.relay import KeyDialect, KeyOutcome, KeyResult
from guavastream.routes import Granting

__all__ = ["GRANTING", "KeyOrders"]

# Words of settings and configurations for how servers are granted keys.
GRANTING = {"heartbeat": Granting.HEARTBEAT, "request": Granting.CALL}

GRANT_PATH = b"/api/grant"
RELEASE_PATH = b"/api/release"
OUTCOMES = {
    200: KeyOutcome.DONE,
    409: KeyOutcome.FENCED,
    # Another server has the address now, or the call cannot be read.
    400: KeyOutcome.REJECTED,
    421: KeyOutcome.REJECTED,
}
# A handover that is longer is none of the platform's; without it the next
# holder is slow for a while, with it every message about the row would be big.
MOST_HANDOVER = 256


class _Order(msgspec.Struct, rename="pascal", omit_defaults=True):
    # The last key, not a version.
    target_version: int
    fence: int = msgspec.field(name="fence")
    # "From" alone would be a keyword in Python.
    first: int = msgspec.field(name="From")
    hold: str = ""
    handover: str = ""


class KeyOrders(KeyDialect):
    """Grants and releases as calls at a backend server's own address."""

    def headers(self, instance):
        return [
            (b"Host", instance.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Expected-Instance", instance.server_name.encode()),
        ]

    def encode(self, call):
        order = _Order(
            first=call.first,
            target_version=call.last,
            fence=call.fence,
            hold=format_time(call.hold) if call.hold else "",
            handover=call.handover if call.hold else "",
        )
        return GRANT_PATH if call.hold else RELEASE_PATH, msgspec.json.encode(order)

    def decode(self, status, headers):
        outcome = OUTCOMES.get(status)
        if headers.get(b"not-executed"):
            outcome = KeyOutcome.REJECTED
        if outcome is None:
            return None
        handover = headers.get(b"handover")
        if len(handover) > MOST_HANDOVER or not handover.isascii():
            handover = b""
        return KeyResult(outcome=outcome, handover=handover.decode())
