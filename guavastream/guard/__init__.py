"""The guard: admits requests to the local backend server and forwards them."""

from guavastream.guard.admission import *
from guavastream.guard.guard import *
from guavastream.guard.handover import *
from guavastream.guard.outcomes import *
from guavastream.guard.queue import *
from guavastream.guard.role import *
from guavastream.guard.server import *
