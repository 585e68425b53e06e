"""Leases between nodes and control hosts."""

from guavastream.leases.client import *
from guavastream.leases.hedged_watch import *
from guavastream.leases.holding import *
from guavastream.leases.keys import *
from guavastream.leases.lease import *
from guavastream.leases.messages import *
