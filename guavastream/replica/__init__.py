"""Copies of replicated state: encoding commands, and a process's current table."""

from guavastream.replica.codec import *
from guavastream.replica.confirmation import *
from guavastream.replica.holder import *
