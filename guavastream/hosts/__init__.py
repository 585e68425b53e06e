"""The two kinds of process: one beside each backend server, and control hosts.

The modules are imported individually, so that neither kind of process loads
the code of the other.
"""

from guavastream.hosts.settings import *
