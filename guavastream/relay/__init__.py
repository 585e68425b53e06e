"""The data path: carries requests to the host of the owner and to its server."""

from guavastream.relay.attempt import *
from guavastream.relay.dialect import *
from guavastream.relay.fingerprint import *
from guavastream.relay.guard import *
from guavastream.relay.hop import *
from guavastream.relay.ingress import *
from guavastream.relay.job import *
from guavastream.relay.quarantine import *
from guavastream.relay.server_client import *
from guavastream.relay.statements import *
