"""An emulated platform on loopback: guavastream processes and backend servers."""

from guavastream.platform.emulator.machine import *
from guavastream.platform.emulator.server import *
from guavastream.platform.emulator.world import *
