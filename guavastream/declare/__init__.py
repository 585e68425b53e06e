"""Declarations of services and presets: data classes and the file parser."""

from guavastream.declare.load import *
from guavastream.declare.model import *
