"""Client library that sends requests directly to the owner of a key."""

from guavastream.client.caller import *
