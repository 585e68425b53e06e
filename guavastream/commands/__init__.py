"""Subcommands of the command line, each a plug-in that registers itself."""

from guavastream.commands import bench, check, operators, processes  # noqa: F401
from guavastream.commands.registry import *
