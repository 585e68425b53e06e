"""Small stand-ins for what stands outside the system."""

from guavastream.standins.backend import *
