"""Subcommands of the command line, each a plug-in that registers itself."""

from guavastream.commands import bench, check, operators, processes, timeline  # noqa: F401
from guavastream.commands.registry import *
