"""Declarations of the two deployments of today, for demo and bench."""
