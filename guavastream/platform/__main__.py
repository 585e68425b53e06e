"""Entry point of a process on the platform: `python -m guavastream.platform`."""

import sys

from guavastream.slim import disable_ssl_import

if __name__ == "__main__":
    # Must run before the first import of asyncio, which loads `ssl`.
    disable_ssl_import()
    from guavastream.platform.process import main

    sys.exit(main())
