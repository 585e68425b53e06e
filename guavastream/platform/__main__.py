"""Start one process on the platform: `python -m guavastream.platform`."""

import sys

from guavastream.slim import leave_out_tls

if __name__ == "__main__":
    # Whatever imports asyncio first brings TLS into the process.
    leave_out_tls()
    from guavastream.platform.process import main

    sys.exit(main())
