"""Commands of the replicated log, each a typed message."""

from guavastream.messages import message

__all__ = [
    "ApplyDeclaration",
    "AssignShards",
    "ChangeAnswer",
    "FinishMoves",
    "Noop",
    "RegisterMember",
    "RemoveMembers",
    "SetDrained",
    "SetLeaving",
    "StartMoves",
    "Unpin",
    "UsePreset",
]


@message
class Noop:
    """First command of each term; commits what earlier terms left."""


@message
class RegisterMember:
    """A backend server and the process beside it ask to join.

    `incarnation` is drawn anew at each start of the process, `boot` at each
    start of the server. `door` is the IP:PORT where the process takes
    requests.
    """

    host: str
    zone: str
    region: str
    incarnation: str
    boot: str
    door: str
    service: str
    slots: int


@message
class SetLeaving:
    """A member gets no new shards and gives up those it has."""

    member: int


@message
class RemoveMembers:
    """The leases of members have ended; nobody owns what they owned."""

    members: tuple[int, ...]


@message
class AssignShards:
    """Shards that `previous` owned (0: nobody) go to `members`, pair by pair.

    One command for a whole service: each one costs every node a copy of the
    service's owners, and a lost availability zone frees thousands of shards.
    """

    service: str
    shards: tuple[int, ...]
    members: tuple[int, ...]
    previous: int = 0


@message
class StartMoves:
    """Owners are asked to release `shards` for `targets`, pair by pair."""

    service: str
    shards: tuple[int, ...]
    targets: tuple[int, ...]


@message
class FinishMoves:
    """`member` released `shards`, which it held under `epochs`, pair by pair.

    `pins` are keys whose sessions it keeps; `recent` holds digests of the
    latest operations on the shards (see `guard.outcomes`).
    """

    service: str
    member: int
    shards: tuple[int, ...]
    epochs: tuple[int, ...]
    pins: tuple[str, ...] = ()
    recent: tuple[int, ...] = ()


@message
class Unpin:
    """The last session of each key, pinned under `epochs`, has ended."""

    service: str
    member: int
    keys: tuple[str, ...]
    epochs: tuple[int, ...]


@message
class ApplyDeclaration:
    """An operator's declaration, msgpack of `declare.Declaration`.

    `expect` is the revision the operator saw, or -1 for any. `at` is wall
    time in seconds, for people only.
    """

    change: str
    expect: int
    author: str
    at: float
    declaration: bytes


@message
class UsePreset:
    """An operator puts a preset in force."""

    change: str
    expect: int
    author: str
    at: float
    preset: str


@message
class SetDrained:
    """An operator drains a host or availability zone, or ends that."""

    change: str
    expect: int
    author: str
    at: float
    target: str
    drained: bool


@message
class ChangeAnswer:
    """Answer to an operator's change; a resend gets it again.

    `code` is `ok`, or a code of docs/errors.md; `winner` describes the change
    that a conflict was lost to.
    """

    revision: int
    code: str = "ok"
    text: str = ""
    winner: str = ""
