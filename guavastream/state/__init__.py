"""Replicated table of members and shard owners, and the commands that change it."""

from guavastream.state import apply  # noqa: F401  (registers command handlers)
from guavastream.state.commands import *
from guavastream.state.table import *
from guavastream.state.wire import *
