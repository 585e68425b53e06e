"""Replicated state: the table that every process holds, and its commands."""

from guavastream.state.commands import *
from guavastream.state.holder import *
from guavastream.state.table import *
