"""Messages between a node and the control hosts."""

from guavastream.messages import message

__all__ = [
    "Renew",
    "RenewAnswer",
    "Submit",
    "SubmitAnswer",
    "Watch",
    "WatchAnswer",
]


@message
class Submit:
    """Submits a command for the log, as a tag and a body (see `messages.codec`)."""

    tag: bytes
    body: bytes


@message(tag="Submitted")
class SubmitAnswer:
    """Says that a command was committed; `result` is its return value in msgpack."""

    index: int
    result: bytes


@message
class Renew:
    """Asks for renewal of a process's lease and reports its table's index and revision.

    `member` is 0 for a process without a backend server, which only reports.
    """

    host: str
    member: int
    index: int
    revision: int
    in_flight: int = 0


@message(tag="Renewed")
class RenewAnswer:
    """Grants a lease of `duration` seconds, counted from when `Renew` was *sent*.

    The lease takes effect only once the holder has the table at `index`. `gone` means
    that the member's lease has expired and will never be renewed.
    """

    duration: float
    index: int
    gone: bool = False


@message
class Watch:
    """Asks for changes after the table at `index`, waiting for them up to `wait` s."""

    index: int
    wait: float


@message(tag="Watched")
class WatchAnswer:
    """Returns the commands after the requested index.

    `commands` are pairs of index and encoded command. If there are too many of them,
    `table` is a whole encoded table to which they are then applied. `hosts` are the
    peer addresses of the control hosts, if these may change. The table has everything
    that was committed until `complete_after` seconds after the `Watch` arrived; before
    its arrival if negative.
    """

    commands: tuple[tuple[int, bytes], ...] = ()
    table: bytes = b""
    hosts: tuple[str, ...] = ()
    complete_after: float = 0.0
