"""Simulates a deployment in virtual time to compare policies.

This package imports none of its modules. Some need the optional dependencies of
`guavastream[experiment]`, which the processes of a deployment do without.
"""
