"""The door: the HTTP entry point for callers' requests."""

from guavastream.door.door import *
from guavastream.door.forward import *
from guavastream.door.role import *
