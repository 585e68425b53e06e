#!/bin/sh
# The stand-ins of review/5 and review/6 (review/shared_2) need nothing but Python's
# own library, so there is nothing to build; this only checks the version.
exec python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 is needed")'
