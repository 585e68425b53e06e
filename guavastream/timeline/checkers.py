"""Checkers over a time line, one for each promise to the users."""

import abc
from collections import defaultdict

from guavastream.exception import Finding
from guavastream.kernel import Registry
from guavastream.timeline.events import wall_seconds

__all__ = ["CHECKERS", "Checker", "check_timeline"]

CHECKERS = Registry(kind="checker")

LEAVE_SECONDS = 3.0
IN_FORCE_SECONDS = 17.0
# A caller may be told of a fault as long after it as a deadline lasts.
EXPLAINED_SECONDS = 5.0
FAULTS = ("server_lost", "node_lost", "node_paused", "path_cut")


class Checker(abc.ABC):
    """Looks for places where a time line breaks one promise."""

    promise = ""

    @abc.abstractmethod
    def check(self, events):
        """Yield a `Finding` for each place, given causally ordered events."""

    def count(self, events):
        """Return how many events bear on the promise."""
        return sum(event.kind in self.kinds for event in events)

    kinds = ()


def check_timeline(events):
    """Run all checkers over causally ordered events.

    Returns
    -------
    dict of str to list of Finding
        By the name of the checker.

    Examples
    --------
    >>> sorted(check_timeline([])) == sorted(CHECKERS.names)
    True
    """
    return {name: list(CHECKERS.get(name)().check(events)) for name in CHECKERS.names}


def _found(event, code, text):
    place = f"{event.host} at {wall_seconds(event.stamp):.6f}"
    return Finding(place=place, code=code, text=text)


@CHECKERS.register("sole-owner")
class SoleOwner(Checker):
    """No key is acted for by two servers at once, nor under an older epoch."""

    promise = "a key has at most one owning server"
    kinds = ("run_started", "ran")

    def check(self, events):
        started = {}
        newest = {}
        for event in events:
            if event.shard < 0:
                continue
            if event.kind == "run_started":
                started[(event.server, event.request)] = event.stamp
            elif event.kind == "ran":
                began = started.get((event.server, event.request), event.stamp)
                place = (event.service, event.key)
                yield from self._judge(event, began, newest.get(place))
                if place not in newest or event.epoch >= newest[place].epoch:
                    newest[place] = event

    def _judge(self, event, began, last):
        # What a server began and then dropped, because its grant had ended,
        # took no effect; only runs that ended with an effect are compared.
        if last is None or last.server == event.server:
            return
        if event.epoch <= last.epoch:
            text = f"{event.key} ran under epoch {event.epoch} after {last.epoch}."
            yield _found(event, "older_epoch", text)
        elif began < last.stamp:
            text = f"{event.key} began before {last.server} had ended."
            yield _found(event, "two_owners", text)


@CHECKERS.register("assignment-survives")
class AssignmentSurvives(Checker):
    """No epoch belongs to two members, and a shard's epochs only rise."""

    promise = "an acknowledged assignment survives"
    kinds = ("granted", "change_accepted", "history_seen")

    def check(self, events):
        owner = {}
        accepted = {}
        for event in events:
            if event.kind == "granted":
                yield from self._grants(event, owner)
            elif event.kind == "change_accepted":
                accepted[event.revision] = event
            elif event.kind == "history_seen":
                yield from self._changes(event, accepted)

    def _grants(self, event, owner):
        member = event.detail["member"]
        for shard, epoch in event.detail["epochs"].items():
            place = (event.service, shard)
            before = owner.get(place, (0, member))
            if epoch == before[0] and member != before[1]:
                text = f"Epoch {epoch} of shard {shard} was given out twice."
                yield _found(event, "epoch_reused", text)
            owner[place] = max(before, (epoch, member))

    def _changes(self, event, accepted):
        seen = {int(r): change for r, change in event.detail["changes"].items()}
        for revision, change in accepted.items():
            if seen.get(revision, change.request) != change.request:
                text = f"Revision {revision} is another change than was accepted."
                yield _found(event, "change_replaced", text)
            if revision > max(seen, default=0):
                text = f"Revision {revision} was accepted and is lost."
                yield _found(event, "change_lost", text)


@CHECKERS.register("whole-answer")
class WholeAnswer(Checker):
    """Every answer is whole and belongs to its request."""

    promise = "a caller receives the whole answer to their own request"
    kinds = ("caller_told",)

    def check(self, events):
        for event in events:
            if event.kind != "caller_told" or event.detail["code"] != "ok":
                continue
            if not event.detail["whole"]:
                yield _found(event, "answer_not_whole", f"{event.request} was cut.")
            if event.detail["answered"] != event.request:
                text = f"{event.request} got the answer to another request."
                yield _found(event, "answer_crossed", text)


@CHECKERS.register("not-run")
class NotRun(Checker):
    """What was refused as not run has no effect at any server."""

    promise = "what is refused as not run did not run"
    kinds = ("caller_told", "ran")

    def check(self, events):
        ran = {event.request for event in events if event.kind == "ran"}
        for event in events:
            if event.kind != "caller_told":
                continue
            if event.detail["ran"] == "not run" and event.request in ran:
                text = f"{event.request} was told not run, and ran."
                yield _found(event, "not_run_ran", text)


@CHECKERS.register("at-most-once")
class AtMostOnce(Checker):
    """A non-idempotent request has at most one effect."""

    promise = "a request that may not be repeated runs at most once"
    kinds = ("ran", "caller_told")

    def check(self, events):
        once = {
            event.detail.get("operation", event.request)
            for event in events
            if event.kind == "caller_told" and not event.detail["idempotent"]
        }
        runs = defaultdict(int)
        for event in events:
            operation = event.detail.get("operation") or event.request
            if event.kind != "ran" or operation not in once:
                continue
            runs[operation] += 1
            if runs[operation] > 1:
                yield _found(event, "ran_twice", f"{operation} ran again.")


@CHECKERS.register("leaving")
class Leaving(Checker):
    """A leaving host admits nothing a few seconds after it began to leave."""

    promise = f"a leaving server gets no new work after {LEAVE_SECONDS:g} s"
    kinds = ("stopping", "drained", "admitted")

    def check(self, events):
        left = {}
        for event in events:
            if event.kind in ("stopping", "drained"):
                left.setdefault(event.host, event.stamp)
            elif event.kind in ("undrained", "joined"):
                left.pop(event.host, None)
            elif event.kind == "admitted" and event.host in left:
                late = wall_seconds(event.stamp) - wall_seconds(left[event.host])
                if late > LEAVE_SECONDS:
                    text = f"{event.request} came {late:.3f} s after."
                    yield _found(event, "work_after_leaving", text)


@CHECKERS.register("planned-stop")
class PlannedStop(Checker):
    """What had begun at a server that is stopped as planned ends well."""

    promise = "a planned stop cuts no request and no session"
    kinds = ("planned_stop", "run_started", "caller_told")

    def check(self, events):
        told = {e.request: e for e in events if e.kind == "caller_told"}
        stopped = {e.server: e.stamp for e in events if e.kind == "planned_stop"}
        lost = {e.server for e in events if e.kind == "server_lost"}
        yield from self._unexplained(events)
        for event in events:
            if event.kind != "run_started" or event.server not in stopped.keys() - lost:
                continue
            answer = told.get(event.request)
            # A caller that was stopped itself, or left, was told nothing.
            if answer is None or answer.detail["code"] in ("ok", "gone"):
                continue
            if answer.stamp < stopped[event.server]:
                continue
            if answer.detail["ran"] != "not run":
                text = f"{event.request} was cut ({answer.detail['code']})."
                yield _found(event, "cut_by_plan", text)

    def _unexplained(self, events):
        """Find broken connections that no fault explains, only planned work."""
        fault = -EXPLAINED_SECONDS
        for event in events:
            at = wall_seconds(event.stamp)
            if event.kind in FAULTS:
                fault = at
            elif event.kind == "caller_told" and at - fault > EXPLAINED_SECONDS:
                if event.detail["code"] == "connection_broken":
                    yield _found(event, "cut_by_plan", f"{event.request} was cut.")


@CHECKERS.register("configuration")
class Configuration(Checker):
    """Revisions never go back, and reach every live process in time."""

    promise = "accepted configuration is in force within seconds, never reverts"
    kinds = ("revision_in_force", "change_accepted")

    def check(self, events):
        newest = defaultdict(int)
        for event in events:
            if event.kind != "revision_in_force":
                continue
            if event.revision < newest[event.host]:
                text = f"Revision {event.revision} after {newest[event.host]}."
                yield _found(event, "revision_reverted", text)
            newest[event.host] = max(newest[event.host], event.revision)
        yield from self._late(events)

    def _late(self, events):
        for event in events:
            if event.kind == "in_force_everywhere":
                took = event.detail["seconds"]
                if event.detail["behind"] or took > IN_FORCE_SECONDS:
                    text = f"Revision {event.revision} took {took:.1f} s."
                    yield _found(event, "late_in_force", text)


@CHECKERS.register("one-preset")
class OnePreset(Checker):
    """Every process that has a revision in force has the same preset."""

    promise = "exactly one preset is in force"
    kinds = ("revision_in_force",)

    def check(self, events):
        presets = {}
        for event in events:
            if event.kind != "revision_in_force":
                continue
            preset = event.detail["preset"]
            if presets.setdefault(event.revision, preset) != preset or not preset:
                text = f"Revision {event.revision} has {preset!r} here."
                yield _found(event, "two_presets", text)
