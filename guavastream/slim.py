"""Prevents the daemon from loading modules that it never uses."""

import sys

__all__ = ["disable_ssl_import"]


def disable_ssl_import():
    """Make ``import ssl`` fail, unless the module has already been imported.

    Must be called before any module, including those of this package, imports
    `asyncio`. Therefore this module imports nothing from the package.

    Notes
    -----
    asyncio, http.client, urllib3 and cheroot import `ssl` if it is available and work
    without it. It takes 5 MB of a memory budget of 32 MB (see ``guavastream bench
    capacity``), and no process of the system uses TLS: peers use CURVE, callers and
    backend servers plain HTTP.
    """
    sys.modules.setdefault("ssl", None)
