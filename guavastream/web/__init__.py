"""HTTP between callers, doors and backend servers, bodies streamed."""

from guavastream.web.peer import *
from guavastream.web.send import *
from guavastream.web.serve import *
