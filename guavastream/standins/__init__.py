"""Small stand-ins for what stands outside the system."""

from guavastream.standins.backend import *
from guavastream.standins.dialect import *
from guavastream.standins.members import *
from guavastream.standins.network import *
from guavastream.standins.proxy import *
from guavastream.standins.stalls import *
