"""Policies that decide which server owns which keys."""

from guavastream.placement.balanced import *
from guavastream.placement.policy import *
from guavastream.placement.runs import *
