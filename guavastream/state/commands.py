"""Commands of the replicated log."""

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
    """Start a term; committing it also commits the entries of earlier terms."""


@message
class RegisterMember:
    """Register a backend server and the router process on its host.

    `incarnation` is a random id of this start of the process and `boot` one of
    this start of the server. `door` is the IP:PORT at which the process accepts
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
    """Mark a member as leaving: it gets no new shards and releases its own."""

    member: int


@message
class RemoveMembers:
    """Remove members whose leases have ended; their shards have no owner then."""

    members: tuple[int, ...]


@message
class AssignShards:
    """Assign each of `shards` to the member at the same position in `members`.

    Only shards that `previous` still owns are assigned; 0 means no owner. One
    command covers all shards of a service, since each command makes every node
    copy the service's owners and the loss of an availability zone frees
    thousands of shards.
    """

    service: str
    shards: tuple[int, ...]
    members: tuple[int, ...]
    previous: int = 0


@message
class StartMoves:
    """Ask the owners to release `shards`.

    Each shard goes to the member at the same position in `targets`.
    """

    service: str
    shards: tuple[int, ...]
    targets: tuple[int, ...]


@message(encoded_names={"recent_digests": "recent"})
class FinishMoves:
    """Record that `member` released `shards`, which it owned under `epochs`.

    `shards` and `epochs` correspond by position. `pins` lists the keys that stay
    with the member until their sessions end. `recent_digests` holds digests of
    the ids of the latest operations on the shards (see `guard.outcomes`).
    """

    service: str
    member: int
    shards: tuple[int, ...]
    epochs: tuple[int, ...]
    pins: tuple[str, ...] = ()
    recent_digests: tuple[int, ...] = ()


@message
class Unpin:
    """Remove the pins of `keys`, whose last sessions have ended.

    `epochs` holds the epoch under which each key was pinned.
    """

    service: str
    member: int
    keys: tuple[str, ...]
    epochs: tuple[int, ...]


@message
class ApplyDeclaration:
    """Replace the declaration, given as msgpack of `declare.Declaration`.

    `change` is the id of the change. `expect` is the revision that the operator
    saw, or -1 for any; if another one is in force, the answer is `conflict`. `at`
    is the wall time in seconds and is only displayed.
    """

    change: str
    expect: int
    author: str
    at: float
    declaration: bytes


@message
class UsePreset:
    """Put a preset in force; see `ApplyDeclaration` for the common fields."""

    change: str
    expect: int
    author: str
    at: float
    preset: str


@message
class SetDrained:
    """Drain a host or an availability zone, or stop draining it."""

    change: str
    expect: int
    author: str
    at: float
    target: str
    drained: bool


@message
class ChangeAnswer:
    """Answer to an operator's change; a resend of the change gets the same one.

    `code` is `ok` or a code of docs/errors.md. After a conflict, `winner`
    describes the latest accepted change.
    """

    revision: int
    code: str = "ok"
    text: str = ""
    winner: str = ""
