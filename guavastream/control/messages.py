"""Raft messages between control hosts."""

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
    "TakeOverAnswer",
    "VOTER_MESSAGES",
    "Vote",
]


@message
class Hello:
    """Asks a control host for its identity and its group; tells the sender's own."""

    voter: str
    address: str


@message
class HelloAnswer:
    """Identity of a voter and the voters of its group.

    `voters` maps voters to peer addresses; empty if it belongs to no group.
    """

    voter: str
    voters: dict[str, str]


@message(encoded_names={"pre_vote": "pre", "leadership_transfer": "handed"})
class RequestVote:
    """Asks for a vote.

    Answering a request with `pre_vote` set commits the voter to nothing.
    `leadership_transfer` is set if the leader of the previous term has stopped
    acting and asked the candidate to succeed it.
    """

    to: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    leadership_transfer: bool = False


@message
class TakeOver:
    """Asks voter `to` to start an election: the leader of `term` has stopped acting."""

    to: str
    term: int


@message(tag="TakenOver")
class TakeOverAnswer:
    """Answer to `TakeOver`: whether the voter starts an election."""

    accepted: bool


@message(encoded_names={"leader_silence": "age"})
class Vote:
    """Answer to `RequestVote`.

    `leader_silence` is the time in seconds since the voter last heard a leader.
    """

    term: int
    granted: bool
    leader_silence: float = 0.0


@message(encoded_names={"previous_index": "previous"})
class AppendEntries:
    """Entries that follow `previous_index`; a heartbeat if there are none.

    `heard_at` is the newest `received_at` that the leader has from this follower, 0 if
    there is none or it may not be the leader any more. What `commit` covers is then all
    that was committed through that time of the follower's clock.
    """

    to: str
    term: int
    leader: str
    leader_address: str
    previous_index: int
    previous_term: int
    commit: int
    entries: tuple[Entry, ...] = ()
    heard_at: float = 0.0


@message
class InstallSnapshot:
    """A snapshot, for a voter whose next entry the leader no longer keeps."""

    to: str
    term: int
    leader: str
    leader_address: str
    index: int
    index_term: int
    data: bytes
    voters: dict[str, str]


@message(encoded_names={"match_index": "match"})
class Appended:
    """Answer of a follower to `AppendEntries` or `InstallSnapshot`.

    `match_index` is the last index at which its log agrees with the leader's.
    Without success it is the index after which the leader should try again.
    `received_at` is the time of the follower's clock at which the request arrived.
    """

    term: int
    success: bool
    match_index: int
    received_at: float = 0.0


# Requests that voters send each other.
VOTER_MESSAGES = (Hello, RequestVote, TakeOver, AppendEntries, InstallSnapshot)
