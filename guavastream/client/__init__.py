"""Library for callers that go straight to the owner of a key."""

from guavastream.client.caller import *
