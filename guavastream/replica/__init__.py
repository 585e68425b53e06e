"""Copies of replicated state: commands as bytes, and the newest state of a process."""

from guavastream.replica.codec import *
from guavastream.replica.holder import *
