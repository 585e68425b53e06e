"""Adapter to one platform: its names, formats and calls; it decides nothing."""
