"""Switches for the mechanisms that schedule requests and place keys."""

import dataclasses
from dataclasses import dataclass

from guavastream.exception import Finding, FindingsError

__all__ = ["POLICY_VARIABLE", "Policy"]

POLICY_VARIABLE = "GUAVASTREAM_POLICY"
# Parsers of a switch's value by the type of its field.
VALUE_PARSERS = {bool: {"on": True, "off": False}.__getitem__, float: float}


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """The mechanisms that are enabled. All are, unless one is switched off.

    The switches serve to measure what each mechanism contributes on a deployment.
    docs/decisions.md lists the results.

    Parameters
    ----------
    returns : bool
        Recognize callers that retry a request and serve them before new ones.
    near : bool
        Prefer the server on the same host, then servers in the same availability
        zone, if they are fast enough.
    kinds : bool
        Estimate the response time of a server for each kind of request separately.
    silence : bool
        Expect a server that has stopped answering to stay unresponsive for as long
        again as it has been so far.
    sampled : bool
        Compare only a sample of the servers if a service has many.
    burden : bool
        Send fewer requests for a while to servers that fail requests.
    refusal : bool
        Refuse a request at once if it would be late; otherwise it waits.
    promises : bool
        Refuse a request that would make queued requests late by overtaking them.
    late_last : bool
        Queue requests that are already late behind all others.
    standing : bool
        Keep the queue shorter while it is never empty.
    shares : bool
        Do not admit a much larger share of one kind of request than of a more urgent
        kind.
    second_tries : bool
        Retry once, where that is safe, if a server refused or lost a request.
    owner_waits : bool
        Hold requests for a key that is about to get an owner.
    balance : bool
        Move keys to balance the load of the servers.
    hottest : bool
        Move a key to the fastest server if its load alone overloads its server.
    areas : bool
        Count the load of rarely used keys by area of the key space, not only in total.
    changes : bool
        Use the most recent rate of a key if its load has changed.
    spare : float
        Factor on the time reserve that a request needs to be admitted.
    late_wait : float
        Factor on how long late requests may wait in the queue.
    owner_wait : float
        Factor on how long requests wait for the missing owner of a key.
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
        """Parse a policy from a text like ``near=off,kinds=off``.

        Raises
        ------
        FindingsError
            With a finding for each part that is not a valid switch.

        Examples
        --------
        >>> policy = Policy.parse("near=off")
        >>> policy.near, policy.kinds
        (False, True)
        """
        types = {field.name: field.type for field in dataclasses.fields(cls)}
        values, findings = {}, []
        for part in filter(None, (part.strip() for part in text.split(","))):
            name, _, value = part.partition("=")
            try:
                values[name] = VALUE_PARSERS[types[name]](value)
            except (KeyError, ValueError):
                known = ", ".join(sorted(types))
                detail = f"{part!r} is invalid; known are {known}: on, off or a factor."
                findings.append(
                    Finding(place=POLICY_VARIABLE, code="bad_value", text=detail)
                )
        if findings:
            raise FindingsError(findings)
        return cls(**values)
