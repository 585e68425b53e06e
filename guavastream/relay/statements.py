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
    rate_limit : float or None
        Requests per second that it takes from all hosts together; None if it names no
        limit, or one that cannot be read.
    is_unlimited : bool
        Whether it takes any number of requests.
    leaving : bool
        Whether it is about to stop and wants no new work.
    """

    rate_limit: float | None = None
    is_unlimited: bool = True
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
    # A server may refuse a request before it adds anything to its answer.
    refused = headers.get(dialect.not_run.lower())
    if not limit and not leaving and not refused:
        return _NOTHING_SAID
    is_readable = _DECIMAL.fullmatch(limit) is not None
    return ServerStatement(
        rate_limit=float(limit) if is_readable else None,
        is_unlimited=not limit and not refused,
        leaving=leaving not in (b"", b"0"),
    )
