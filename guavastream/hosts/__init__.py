"""Processes of a fleet: beside backend servers, and control hosts.

The modules are imported one by one: neither kind of process carries the
memory of the other.
"""

from guavastream.hosts.settings import *
