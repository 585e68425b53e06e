"""Start one process on the platform: `python -m guavastream.platform`."""

import sys

from guavastream.slim import disable_ssl_import

if __name__ == "__main__":
    # Whatever imports asyncio first brings TLS into the process.
    disable_ssl_import()
    from guavastream.platform.process import main

    sys.exit(main())
