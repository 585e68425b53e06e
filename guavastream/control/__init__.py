"""Control hosts: the replicated log, host leases and the assignment of owners."""

from guavastream.control.machine import *
from guavastream.control.planner import *
from guavastream.control.raft import *
from guavastream.control.role import *
from guavastream.control.service import *
from guavastream.control.storage import *
from guavastream.control.voter import *
