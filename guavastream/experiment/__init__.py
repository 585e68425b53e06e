"""A model of a deployment in virtual time, and experiments on it.

The modules are imported one by one: what plots and draws random numbers is an
extra that no process of a deployment needs.
"""
