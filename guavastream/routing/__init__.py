"""Decides where requests go and when they are retried, independent of any transport."""

from guavastream.routing.attempts import *
from guavastream.routing.choose import *
from guavastream.routing.classify import *
from guavastream.routing.health import *
from guavastream.routing.outcomes import *
