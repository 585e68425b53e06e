"""Entry point of a process on the platform: `python -m guavastream.platform`."""

import sys

from guavastream.slim import disable_ssl_import

if __name__ == "__main__":
    # Must run before the first import of asyncio, which loads `ssl`.
    disable_ssl_import()
    from guavastream.kernel import steady_time

    # Before the other imports, which take most of the time until it serves.
    started_at = steady_time()
    from guavastream.platform.process import main

    sys.exit(main(started_at=started_at))
