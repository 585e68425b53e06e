"""Subcommands of the command line, each a plug-in that registers itself."""

from guavastream.commands.registry import *
