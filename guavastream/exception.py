"""Every error of the package, below one root, each with a stable code."""

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
    """Root of the package's errors.

    Attributes
    ----------
    code : str
        Stable name for programs; documented in docs/errors.md.
    """

    code = "internal"


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One thing wrong with an input, and where it stands.

    Parameters
    ----------
    place : str
        A flag, an environment variable, or a file and table.
    code : str
        Stable name of the kind of mistake.
    text : str
        One sentence for people.

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
    """All findings about one input, reported together."""

    code = "bad_input"

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(map(str, self.findings)))


class BadMessage(GuavastreamError):
    """A message from a peer that cannot be read."""

    code = "bad_message"


class CallTimeout(GuavastreamError):
    """A peer did not answer in time; whether it acted is unknown."""

    code = "peer_timeout"


class PeerFailure(GuavastreamError):
    """A peer answered that it failed."""

    def __init__(self, text, *, code="peer_failure"):
        self.code = code
        super().__init__(text)


class NotLeader(GuavastreamError):
    """This control host does not lead; `leader` may name who does.

    Parameters
    ----------
    leader : str
        Peer address of the leader as last known, or an empty string.
    """

    code = "not_leader"

    def __init__(self, *, leader=""):
        self.leader = leader
        super().__init__(leader)


class NotReady(GuavastreamError):
    """The process is not yet, or no longer, able to act."""

    code = "not_ready"


class ConflictError(GuavastreamError):
    """A change lost against another with the same expected revision."""

    code = "conflict"


class DamagedLog(GuavastreamError):
    """The control log is damaged before its tail; the voter must not vote.

    Parameters
    ----------
    path : str
        The damaged file.
    offset : int
        Bytes from the start of the file to the damaged record.
    """

    code = "log_damaged"

    def __init__(self, *, path, offset):
        self.path = path
        self.offset = offset
        super().__init__(f"{path} is damaged at byte {offset}")
