"""Decisions under load: who is admitted, when and where; no network, no sockets."""

from guavastream.scheduling.admission import *
from guavastream.scheduling.budget import *
from guavastream.scheduling.class_admission import *
from guavastream.scheduling.classes import *
from guavastream.scheduling.departures import *
from guavastream.scheduling.hangs import *
from guavastream.scheduling.levels import *
from guavastream.scheduling.outcome import *
from guavastream.scheduling.pick import *
from guavastream.scheduling.rate_limits import *
from guavastream.scheduling.reserve import *
from guavastream.scheduling.return_times import *
from guavastream.scheduling.returns import *
from guavastream.scheduling.room import *
from guavastream.scheduling.servers import *
from guavastream.scheduling.shares import *
from guavastream.scheduling.turns import *
from guavastream.scheduling.work_meter import *
