#!/bin/sh
# The stand-ins of these cases need only Python 3.11 and its standard library: there is
# nothing to build.
exit 0
