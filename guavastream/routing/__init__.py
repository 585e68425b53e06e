"""The decision where a request goes, free of any transport."""

from guavastream.routing.attempts import *
from guavastream.routing.choose import *
from guavastream.routing.classify import *
from guavastream.routing.health import *
from guavastream.routing.outcomes import *
