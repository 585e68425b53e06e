"""The fleet state: replicated backend servers, ownership of keys and routes."""

from guavastream.fleet import apply  # noqa: F401  (registers the command handlers)
from guavastream.fleet.book import *
from guavastream.fleet.codec import *
from guavastream.fleet.commands import *
from guavastream.fleet.evacuations import *
from guavastream.fleet.load_reports import *
from guavastream.fleet.messages import *
from guavastream.fleet.rows import *
from guavastream.fleet.shorten import *
from guavastream.fleet.suspects import *
