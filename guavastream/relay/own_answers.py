"""Answers of the ingress itself: refusals, failures and rejections."""

import random

from guavastream.kernel import part_logger
from guavastream.relay.fingerprint import fingerprint_of
from guavastream.scheduling.outcome import FAILURE_RULES

__all__ = ["DEFAULT_RETRY_AFTER_SECONDS", "MIN_RETRY_AFTER_SECONDS", "OwnAnswers"]

# Values of Retry-After in seconds. The minimum applies if another host can serve the
# retry at once, the default if an owner or a server has to be found first.
MIN_RETRY_AFTER_SECONDS = 0.05
DEFAULT_RETRY_AFTER_SECONDS = 0.3
# Codes of refusals whose Retry-After was chosen for this caller, if requests are
# admitted by class.
PLANNED_CODES = ("overloaded", "shed")

log = part_logger("ingress")


class OwnAnswers:
    """Answers requests that no server answers, and logs why.

    Parameters
    ----------
    clock : callable
        The loop's time.
    dialect : Dialect
        Header names.
    fleet_holder : TableHolder
        Holds the newest fleet state.
    reader : JobReader
        Remembers unserved requests, so that retries are recognized.
    picker : Picker
        Knows how long requests take.
    class_admission : IngressAdmission or None
        Admits requests by class, if they are.
    count : callable
        Counts an event by name.
    rng : random.Random, optional
        Varies Retry-After.
    """

    def __init__(
        self,
        *,
        clock,
        dialect,
        fleet_holder,
        reader,
        picker,
        class_admission,
        count,
        rng=None,
    ):
        self._clock = clock
        self._dialect = dialect
        self._fleet_holder = fleet_holder
        self._reader = reader
        self._picker = picker
        self._class_admission = class_admission
        self._count = count
        self._rng = rng or random.Random()

    async def reject(self, responder, request, status):
        """Answer a request that is invalid or has no route."""
        self._count(f"rejected.{status}")
        log.info(
            "Rejected.",
            extra={
                "request": request.headers.get(self._dialect.request_id.lower()).decode(
                    "latin-1"
                ),
                "status": status,
                "path": request.path.decode("latin-1"),
                "config": self._fleet_holder.table.config.version,
                "book_ms": self._fleet_holder.confirmation.age_ms,
            },
        )
        await responder.send(status)

    async def refuse(self, responder, job, refused):
        """Answer a request that has not run; `job` is None if it was not read."""
        self._count(f"refused.{refused.code}")
        seconds = max(
            MIN_RETRY_AFTER_SECONDS, refused.retry_after or DEFAULT_RETRY_AFTER_SECONDS
        )
        is_planned = (
            self._class_admission is not None
            and job is not None
            and refused.code in PLANNED_CODES
        )
        if is_planned:
            self._note_planned_retry(job, refused, seconds)
        else:
            # Jitter keeps callers that are refused together from retrying together.
            seconds *= self._rng.uniform(0.7, 1.3)
            self._log_unserved(job, refused.code)
        headers = [(b"Retry-After", b"%.2f" % seconds)]
        await responder.send(FAILURE_RULES[refused.code].status, headers)

    def _note_planned_retry(self, job, refused, seconds):
        """Log a refusal and remember when its caller is to retry."""
        now = self._clock()
        if refused.code == "shed":
            late = "late" if refused.reasons["late"] else "in_time"
            self._count(f"shed.{job.urgency}.{late}")
            if refused.reasons["early"]:
                self._count("shed_early")
        # A server reserves capacity only for a retry that can be in time.
        usual = self._picker.usual_seconds(job.route.name)
        reserved = (
            refused.code == "overloaded"
            and job.keyed
            and now + seconds + usual <= job.target_time
        )
        if refused.code == "shed" and refused.reasons["early"]:
            # The server still holds what it reserved for the retry in time.
            reserved = job.reserved
        self._log_unserved(
            job,
            refused.code,
            reasons=refused.reasons,
            retry_at=self._class_admission.early_until(now, seconds, job.deadline),
            reserved=reserved,
        )

    async def fail(self, responder, job, code):
        """Answer a request that may have run."""
        if responder.complete:
            # The deadline passed just after the answer had been sent completely.
            return
        self._count(f"failed.{code}")
        self._log_unserved(job, code)
        if responder.started:
            # Part of an answer was sent: the connection is cut, so that the answer
            # does not look complete.
            responder.abort(code)
            return
        await responder.send(FAILURE_RULES[code].status)

    def _log_unserved(self, job, code, *, reasons=None, retry_at=None, reserved=False):
        if job is None:
            log.info("Refused: %s.", code)
            return
        self._reader.note_unserved(job, retry_at=retry_at, reserved=reserved)
        # The fingerprint identifies a request that is sent again under a new id.
        may_recur = job.sent_to or code == "quarantined"
        log.info(
            "Gave up.",
            extra={
                "request": job.id.decode("latin-1"),
                "what": fingerprint_of(job).hex() if may_recur else None,
                "code": code,
                "sent": len(job.sent_to),
                "service": job.service,
                "kind": job.route.name,
                "again": job.is_retry,
                "key": job.key,
                "took_ms": int((self._clock() - job.started) * 1000),
                **(reasons or {}),
            },
        )
