"""The exceptions of the package, each with a stable error code."""

from dataclasses import dataclass

__all__ = [
    "BadMessage",
    "CallTimeout",
    "ConflictError",
    "DamagedLog",
    "FindingsError",
    "Finding",
    "GuavastreamError",
    "NotLeader",
    "NotReady",
    "PeerFailure",
]


class GuavastreamError(Exception):
    """Base class of all exceptions of the package.

    Attributes
    ----------
    code : str
        Stable, machine-readable error code; see docs/errors.md.
    """

    code = "internal"


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One problem of an input and its place.

    Parameters
    ----------
    place : str
        A flag, an environment variable, or a file and table.
    code : str
        Stable, machine-readable code of the kind of problem.
    text : str
        Human-readable description in one sentence.

    Examples
    --------
    >>> print(Finding(place="--zone", code="setting_missing", text="Is required."))
    --zone: setting_missing: Is required.
    """

    place: str
    code: str
    text: str

    def __str__(self):
        return f"{self.place}: {self.code}: {self.text}"


class FindingsError(GuavastreamError):
    """An input is invalid; reports all findings together."""

    code = "bad_input"

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(map(str, self.findings)))


class BadMessage(GuavastreamError):
    """A message from a peer cannot be decoded."""

    code = "bad_message"


class CallTimeout(GuavastreamError):
    """A peer did not answer in time. It may still have handled the request."""

    code = "peer_timeout"


class PeerFailure(GuavastreamError):
    """A peer failed to handle a request.

    Parameters
    ----------
    text : str
        Error text of the peer.
    code : str
        Error code of the peer.
    """

    def __init__(self, text, *, code="peer_failure"):
        self.code = code
        super().__init__(text)


class NotLeader(GuavastreamError):
    """This control host is not the leader.

    Parameters
    ----------
    leader : str
        Last known peer address of the leader, or an empty string.
    """

    code = "not_leader"

    def __init__(self, *, leader=""):
        self.leader = leader
        super().__init__(leader)


class NotReady(GuavastreamError):
    """The process cannot handle the request yet, or not any more."""

    code = "not_ready"


class ConflictError(GuavastreamError):
    """Another change with the same expected revision was applied first."""

    code = "conflict"


class DamagedLog(GuavastreamError):
    """The control log is damaged before its last record; the voter must not vote.

    Parameters
    ----------
    path : str
        The damaged file.
    offset : int
        Position of the damaged record in the file, in bytes.
    """

    code = "log_damaged"

    def __init__(self, *, path, offset):
        self.path = path
        self.offset = offset
        super().__init__(f"{path} is damaged at byte {offset}")
