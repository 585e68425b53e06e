"""HTTP/1.1 without threads: one task a connection over a C parser."""

from guavastream.http1.client import *
from guavastream.http1.message import *
from guavastream.http1.responder import *
from guavastream.http1.server import *
