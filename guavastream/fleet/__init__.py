"""The replicated book of announced backend servers, their keys and the routes."""

from guavastream.fleet import apply  # noqa: F401  (registers what commands do)
from guavastream.fleet.book import *
from guavastream.fleet.codec import *
from guavastream.fleet.commands import *
from guavastream.fleet.messages import *
from guavastream.fleet.rows import *
from guavastream.fleet.shorten import *
from guavastream.fleet.suspects import *
