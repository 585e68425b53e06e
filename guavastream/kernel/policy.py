"""Which mechanisms decide about requests and keys, each with a switch."""

import dataclasses
from dataclasses import dataclass

from guavastream.exception import Finding, FindingsError

__all__ = ["POLICY_VARIABLE", "Policy"]

POLICY_VARIABLE = "GUAVASTREAM_POLICY"
# How the text of a value is read, by the type of its field.
READERS = {bool: {"on": True, "off": False}.__getitem__, float: float}


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Mechanisms that are in force; all are, unless one is switched off.

    The switches are there to measure what a mechanism is worth on a
    deployment. docs/decisions.md has the figures.

    Parameters
    ----------
    returns : bool
        Callers that come back are recognized and go before new ones.
    near : bool
        Requests stay in their availability zone where that is fast enough.
    kinds : bool
        Servers are judged by the times of one kind of request.
    silence : bool
        A server that answers nothing is expected to go on so.
    sampled : bool
        Of many servers a few are weighed for a request.
    burden : bool
        Servers that fail requests get fewer of them for a while.
    refusal : bool
        A request that would be late is refused at once; else it waits.
    promises : bool
        Nobody is let in before those who would be late by it.
    late_last : bool
        Requests that are late already wait behind all others.
    standing : bool
        A queue that is never empty is kept shorter.
    shares : bool
        No kind is let in much more often than a more urgent one.
    second_tries : bool
        What a server refused or lost is tried once more where that is safe.
    owner_waits : bool
        Requests wait for a key that is about to have an owner.
    balance : bool
        Keys move by load.
    hottest : bool
        A key beyond its server moves to the fastest one.
    areas : bool
        Rare keys are counted where they lie.
    changes : bool
        A key whose load changes is known by its last moments.
    spare : float
        Times the usual reserve that a request must have to be let in.
    late_wait, owner_wait : float
        Times the usual patience of late requests, and with a missing owner.
    """

    returns: bool = True
    near: bool = True
    kinds: bool = True
    silence: bool = True
    sampled: bool = True
    burden: bool = True
    refusal: bool = True
    promises: bool = True
    late_last: bool = True
    standing: bool = True
    shares: bool = True
    second_tries: bool = True
    owner_waits: bool = True
    balance: bool = True
    hottest: bool = True
    areas: bool = True
    changes: bool = True
    spare: float = 1.0
    late_wait: float = 1.0
    owner_wait: float = 1.0

    @classmethod
    def parse(cls, text):
        """Return the policy of a text like ``near=off,kinds=off``.

        Raises
        ------
        FindingsError
            With every part that is not a switch.

        Examples
        --------
        >>> policy = Policy.parse("near=off")
        >>> policy.near, policy.kinds
        (False, True)
        """
        kinds = {field.name: field.type for field in dataclasses.fields(cls)}
        values, findings = {}, []
        for part in filter(None, (part.strip() for part in text.split(","))):
            name, _, word = part.partition("=")
            try:
                values[name] = READERS[kinds[name]](word)
            except (KeyError, ValueError):
                known = ", ".join(sorted(kinds))
                found = f"{part!r} means nothing; known are {known}: on, off, or times."
                findings.append(
                    Finding(place=POLICY_VARIABLE, code="bad_value", text=found)
                )
        if findings:
            raise FindingsError(findings)
        return cls(**values)
