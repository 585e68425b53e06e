"""A randomized fault soak: schedules of faults, and the promises it checks."""

from guavastream.soak.ledger import *
from guavastream.soak.schedule import *
