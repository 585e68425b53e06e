"""A small platform on loopback: the system's processes and what they serve."""

from guavastream.platform.emulator.machine import *
from guavastream.platform.emulator.server import *
from guavastream.platform.emulator.world import *
