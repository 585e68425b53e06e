"""Declarations of services and presets."""

from guavastream.declare.load import *
from guavastream.declare.model import *
