"""The daemon: a process that runs the roles enabled by its settings."""

from guavastream import control, door, guard, operate  # noqa: F401  (registers roles)
from guavastream.daemon.node import *
