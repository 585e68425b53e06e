"""Time line of events over all processes, and its checkers."""

from guavastream.timeline.checkers import *
from guavastream.timeline.events import *
from guavastream.timeline.picture import *
from guavastream.timeline.select import *
