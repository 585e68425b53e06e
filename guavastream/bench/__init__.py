"""Benches and the demo: real processes on loopback, measured."""

from guavastream.bench import ownership, requests  # noqa: F401  (register)
from guavastream.bench.scenario import *
