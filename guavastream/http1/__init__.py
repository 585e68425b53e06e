"""HTTP/1.1 client and server on asyncio; only overlapping requests have own tasks."""

from guavastream.http1.body import *
from guavastream.http1.capacity import *
from guavastream.http1.client import *
from guavastream.http1.client_connection import *
from guavastream.http1.exchange import *
from guavastream.http1.memory import *
from guavastream.http1.message import *
from guavastream.http1.responder import *
from guavastream.http1.server import *
from guavastream.http1.turns import *
