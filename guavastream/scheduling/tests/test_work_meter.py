"""Time that requests spend at a server, without their calls."""

from guavastream.scheduling import WorkMeter


class Measured:
    def __init__(self):
        self.now = 0.0
        self.meter = WorkMeter(clock=lambda: self.now)


def test_time_of_requests_in_progress_is_reported_once():
    # Guards against a slow server that is noticed only when it answers.
    measured = Measured()
    measured.meter.begin(b"1", "k")
    measured.now = 0.25
    assert measured.meter.take() == (("k", 0, 0.25, 0.0),)
    measured.now = 0.3
    measured.meter.end(b"1", completed=True)
    assert measured.meter.take() == (("k", 1, 0.05, 0.0),)
    assert measured.meter.take() == ()


def test_concurrent_calls_of_a_request_are_counted_once():
    measured = Measured()
    measured.meter.begin(b"1", "k")
    measured.meter.begin_call(b"1")
    measured.now = 1.0
    measured.meter.begin_call(b"1")
    measured.now = 2.0
    measured.meter.end_call(b"1")
    measured.now = 3.0
    measured.meter.end_call(b"1")
    measured.now = 3.5
    measured.meter.end(b"1", completed=True)
    assert measured.meter.take() == (("k", 1, 0.5, 3.0),)


def test_failed_requests_do_not_make_a_server_look_fast():
    measured = Measured()
    measured.meter.begin(b"1", "k")
    measured.now = 0.01
    measured.meter.end(b"1", completed=False, failed=True)
    assert measured.meter.take() == ()


def test_calls_of_requests_that_have_ended_are_ignored():
    measured = Measured()
    measured.meter.begin_call(b"1")
    measured.meter.end_call(b"1")
    measured.meter.end(b"1", completed=True)
    assert measured.meter.take() == ()
