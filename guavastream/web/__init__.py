"""HTTP by cheroot and urllib3, bodies streamed both ways."""

from guavastream.web.send import *
from guavastream.web.serve import *
