"""Benches and the demo: real processes on loopback, measured."""
