"""What a backend server says of itself in the headers of its answers."""

import re

from guavastream.kernel import record

__all__ = ["ServerStatement", "read_statement"]

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")


@record
class ServerStatement:
    """What one answer says of the server that sent it.

    Attributes
    ----------
    is_limited : bool
        Whether the server limits the requests that it takes.
    rate_limit : float or None
        Requests per second that it takes from all hosts together; None if it names no
        limit, or one that cannot be read.
    leaving : bool
        Whether it is about to stop and wants no new work.
    """

    is_limited: bool = False
    rate_limit: float | None = None
    leaving: bool = False


_NOTHING_SAID = ServerStatement()


def read_statement(headers, dialect):
    """Return the `ServerStatement` in the headers of an answer.

    Examples
    --------
    >>> from guavastream.http1 import Headers
    >>> from guavastream.relay import Dialect
    >>> headers = Headers([(b"Guavastream-Rate-Limit", b"15.2")])
    >>> read_statement(headers, Dialect()).rate_limit
    15.2
    """
    limit = headers.get(dialect.rate_limit.lower())
    leaving = headers.get(dialect.leaving.lower())
    if not limit and not leaving:
        return _NOTHING_SAID
    is_readable = _DECIMAL.fullmatch(limit) is not None
    return ServerStatement(
        is_limited=bool(limit),
        rate_limit=float(limit) if is_readable else None,
        leaving=leaving not in (b"", b"0"),
    )
