"""The daemon: all roles of one process."""

from guavastream import control, door, guard, operate  # noqa: F401  (plug-ins)
from guavastream.daemon.node import *
