"""Typed messages between the system's processes, and their transport."""

from guavastream.messages.codec import *
from guavastream.messages.packing import *
from guavastream.messages.parts import *
from guavastream.messages.relaying import *
from guavastream.messages.transport import *
