"""Routes from requests to services, and the limits of callers."""

from guavastream.routes.check import *
from guavastream.routes.match import *
from guavastream.routes.mixed_work import *
from guavastream.routes.model import *
