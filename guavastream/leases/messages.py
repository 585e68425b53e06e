"""Messages between a node and the control hosts."""

from guavastream.messages import message

__all__ = [
    "Renew",
    "Renewed",
    "Submit",
    "Submitted",
    "Watch",
    "Watched",
]


@message
class Submit:
    """A command for the log, as a tag and a body (see `messages.codec`)."""

    tag: bytes
    body: bytes


@message
class Submitted:
    """A command was committed; `result` is msgpack of what it returned."""

    index: int
    result: bytes


@message
class Renew:
    """A process asks to renew its lease, and reports what it has in force.

    `member` is 0 for a process that has no backend server, which then only
    reports.
    """

    host: str
    member: int
    index: int
    revision: int
    in_flight: int = 0


@message
class Renewed:
    """The lease runs `duration` seconds from when the renewal was *sent*.

    It counts only once the holder has the table at `index`. `gone` says that
    the member's lease had run out and will never be renewed.
    """

    duration: float
    index: int
    gone: bool = False


@message
class Watch:
    """A process that has the table at `index` asks for what follows."""

    index: int
    wait: float


@message
class Watched:
    """Commands after the asker's index, and before them a whole table if too many.

    `commands` holds pairs of index and encoded command, `hosts` the peer
    addresses of the control hosts, if they may change.
    """

    commands: tuple[tuple[int, bytes], ...] = ()
    table: bytes = b""
    hosts: tuple[str, ...] = ()
