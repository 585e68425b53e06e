"""Replicated state: the table that every process holds, and its commands."""

from guavastream.state import apply  # noqa: F401  (registers what commands do)
from guavastream.state.commands import *
from guavastream.state.table import *
from guavastream.state.wire import *
