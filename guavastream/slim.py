"""Keep out of memory what the daemon never uses."""

import sys

__all__ = ["leave_out_tls"]


def leave_out_tls():
    """Make `import ssl` fail, before anything has imported it.

    It must be called before `asyncio` is imported by anything, this package's own
    modules among them; so this module imports none of them.

    Notes
    -----
    asyncio, http.client, urllib3 and cheroot import it if they can, and do
    without if they cannot. It costs 5 MB of a budget of 32 (`guavastream
    bench capacity`), and no process of the system speaks TLS: peers have
    CURVE, callers and backend servers plain HTTP.
    """
    sys.modules.setdefault("ssl", None)
