"""The membership of a node: it follows the table and renews its lease."""

from guavastream.membership.membership import *
