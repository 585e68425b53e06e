"""Tells callers, gauges and the log by which levels the local server admits classes."""

from guavastream.kernel import part_logger

__all__ = ["LevelReporter"]

# Shortest time between two log records of the admission levels.
LOG_SECONDS = 1.0

log = part_logger("guard")


class LevelReporter:
    """Reports the admission levels of the local server.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    class_admission : ClassAdmission
        Sets the levels.
    board : LevelBoard
        Levels that this process has received.
    queue : AdmissionQueue
        Requests at the local server.
    set_gauge : callable
        Sets a gauge: its name and the value.
    """

    def __init__(self, *, clock, class_admission, board, queue, set_gauge):
        self._clock = clock
        self._class_admission = class_admission
        self._board = board
        self._queue = queue
        self._set_gauge = set_gauge
        # Levels that the gauges show.
        self._shown_shares = {}
        self._logged_at = float("-inf")

    def header(self, local_id):
        """Return the header value with admission levels, empty if there are none.

        They are those of the local server, whose id is `local_id`, and some that this
        process has received.
        """
        shares = self._class_admission.shares()
        if shares is not self._shown_shares:
            self._show(shares)
            self._log(shares, local_id)
        passed_on = self._board.passed_on(except_for=local_id)
        return self._class_admission.header() + passed_on

    def _show(self, shares):
        """Set the gauges of levels and of reservations for retries."""
        for cls in {**self._shown_shares, **shares}:
            name = f'admission_level{{urgency="{cls.urgency}",late="{cls.late:d}"}}'
            self._set_gauge(name, round(shares.get(cls, 1.0), 3))
        self._set_gauge("retry_reservations", self._class_admission.reservations)
        self._shown_shares = shares

    def _log(self, shares, local_id):
        now = self._clock()
        if not shares or now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        log.info(
            "Requests are admitted by their urgency class.",
            extra={
                "server": local_id,
                "levels": [
                    {"urgency": c.urgency, "late": c.late, "level": round(share, 3)}
                    for c, share in shares.items()
                ],
                "asked": self._class_admission.asked(),
                "running": self._queue.running,
                "waiting": self._queue.waiting,
                "reservations": self._class_admission.reservations,
            },
        )
