"""Messages between voters, after Raft."""

from guavastream.control.storage import Entry
from guavastream.messages import message

__all__ = [
    "AppendEntries",
    "Appended",
    "Hello",
    "HelloAnswer",
    "InstallSnapshot",
    "RequestVote",
    "TakeOver",
    "TakenOver",
    "VOTER_MESSAGES",
    "Vote",
]


@message
class Hello:
    """A voter asks another who it is; `blank` if it belongs to no group yet."""

    voter: str
    address: str


@message
class HelloAnswer:
    """Identity of a voter; `voters` are those its group was formed with."""

    voter: str
    voters: dict[str, str]


@message
class RequestVote:
    """A candidate asks for a vote; with `pre` nothing is promised.

    `handed` tells that the leader of the term before has stopped acting and
    asked the candidate to succeed it.
    """

    to: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    handed: bool = False


@message
class TakeOver:
    """The leader of `term` has stopped acting; `to` should lead now."""

    to: str
    term: int


@message
class TakenOver:
    """Answer to `TakeOver`."""

    accepted: bool


@message
class Vote:
    """Answer to `RequestVote`; `age` is the voter's time without a leader, s."""

    term: int
    granted: bool
    age: float = 0.0


@message
class AppendEntries:
    """Entries after `previous`, or a heartbeat if there are none."""

    to: str
    term: int
    leader: str
    leader_address: str
    previous: int
    previous_term: int
    commit: int
    entries: tuple[Entry, ...] = ()


@message
class InstallSnapshot:
    """The whole state, for a voter whose next entry is no longer kept."""

    to: str
    term: int
    leader: str
    leader_address: str
    index: int
    index_term: int
    data: bytes
    voters: dict[str, str]


@message
class Appended:
    """Answer of a follower; `match` is the last index that agrees.

    Without success `match` is a hint from where to try again.
    """

    term: int
    success: bool
    match: int


# What voters ask each other.
VOTER_MESSAGES = (Hello, RequestVote, TakeOver, AppendEntries, InstallSnapshot)
