"""A node's part in the system: it follows the table and renews its lease."""

from guavastream.membership.membership import *
