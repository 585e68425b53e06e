"""Operators' side: their door and the client of the command line."""

from guavastream.operate.client import *
from guavastream.operate.door import *
from guavastream.operate.role import *
