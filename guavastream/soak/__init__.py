"""Randomized fault schedules and the invariants that a soak test checks."""

from guavastream.soak.ledger import *
from guavastream.soak.schedule import *
