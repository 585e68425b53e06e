"""A router for servers that own keys exclusively."""

from guavastream.exception import *  # noqa: F401

__version__ = "0.1.0"
