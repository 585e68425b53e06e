"""Benches and the demo: real processes on loopback, measured."""

from guavastream.bench import cost, ownership, requests  # noqa: F401  (register)
from guavastream.bench.scenario import *
