"""Shared basics: registries, settings, logs, metrics, validation, event loop."""

from guavastream.kernel.checks import *
from guavastream.kernel.clocks import *
from guavastream.kernel.counters import *
from guavastream.kernel.hybrid import *
from guavastream.kernel.listening import *
from guavastream.kernel.logs import *
from guavastream.kernel.loops import *
from guavastream.kernel.metrics import *
from guavastream.kernel.policy import *
from guavastream.kernel.records import *
from guavastream.kernel.registry import *
from guavastream.kernel.roles import *
from guavastream.kernel.settings import *
from guavastream.kernel.stdout import *
from guavastream.kernel.waiting import *
