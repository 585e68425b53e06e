"""Placement of shards on members."""

from guavastream.placement.balanced import *
from guavastream.placement.policy import *
from guavastream.placement.runs import *
