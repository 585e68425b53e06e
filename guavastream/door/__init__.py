"""The door: where callers' requests come in."""

from guavastream.door.door import *
from guavastream.door.forward import *
from guavastream.door.role import *
