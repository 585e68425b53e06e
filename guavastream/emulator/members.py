"""Members for tests that need a table without control hosts."""

from guavastream.state import Member

__all__ = ["make_member"]


def make_member(number, **changes):
    """Return a member with plain values, some of them given.

    Examples
    --------
    >>> make_member(4, zone="a").host
    'h4'
    """
    values = {
        "host": f"h{number}",
        "zone": "z",
        "region": "",
        "incarnation": "i",
        "boot": "b",
        "door": "127.0.0.1:1",
        "service": "s",
        "slots": 2,
    }
    return Member(id=number, **(values | changes))
