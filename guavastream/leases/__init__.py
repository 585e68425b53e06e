"""Leases that control hosts grant to nodes, and key leases of backend servers."""

from guavastream.leases.client import *
from guavastream.leases.hedged_watch import *
from guavastream.leases.holding import *
from guavastream.leases.keys import *
from guavastream.leases.lease import *
from guavastream.leases.messages import *
