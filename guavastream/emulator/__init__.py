"""What stands outside the system, and a network between: small, for tests and runs."""

from guavastream.emulator.backend import *
from guavastream.emulator.callers import *
from guavastream.emulator.dialect import *
from guavastream.emulator.members import *
from guavastream.emulator.network import *
from guavastream.emulator.proxy import *
from guavastream.emulator.repeats import *
from guavastream.emulator.stalls import *
from guavastream.emulator.statements import *
