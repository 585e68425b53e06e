"""Routes: which requests go to which service, and under which limits."""

from guavastream.routes.check import *
from guavastream.routes.match import *
from guavastream.routes.model import *
