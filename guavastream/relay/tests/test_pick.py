"""Choosing among servers without a key."""

import random
from collections import Counter

from guavastream.fleet import Instance
from guavastream.kernel import replace
from guavastream.relay import Picker
from guavastream.relay.pick import Report
from guavastream.relay.servers import (
    ALL_WEIGHED,
    FAR_SERVERS,
    NEAR_SERVERS,
    ServerLists,
)


def server(id, zone="a", slots=8):
    return Instance(
        id=id, service="s", host=id, door=id, address=id, zone=zone, slots=slots
    )


def make_picker(now=lambda: 0.0, zone="a"):
    return Picker(clock=now, rng=random.Random(1), zone=zone)


def shares(picker, servers, **kwargs):
    return Counter(picker.choose(servers, **kwargs).id for _ in range(100))


def test_fast_servers_get_more_until_they_are_as_busy():
    servers = [server("slow"), server("fast")]
    picker = make_picker()
    picker.note_report(servers[0], Report(slots=8, seconds=0.3))
    picker.note_report(servers[1], Report(slots=8, seconds=0.1))
    sent = Counter()
    for _ in range(24):
        chosen = picker.choose(servers)
        picker.begin(chosen)
        sent[chosen.id] += 1
    assert sent["fast"] > 2 * sent["slow"] > 0


def test_a_server_that_fails_is_avoided_whatever_its_health_says():
    # It answers its health check and fails a third of what it is sent; the
    # burden fades, so that it is tried again once it has recovered.
    time = [0.0]
    servers = [server("grey"), server("sound")]
    picker = make_picker(now=lambda: time[0])
    for _ in range(3):
        picker.note_answer(servers[0], failed=True)
    assert shares(picker, servers)["grey"] == 0
    time[0] = 20.0
    assert shares(picker, servers)["grey"] > 20


def test_an_unreachable_host_is_passed_over_but_never_most_of_a_service():
    servers = [server(name) for name in "abcd"]
    picker = make_picker()
    picker.note_unreachable(servers[0])
    assert shares(picker, servers)["a"] == 0
    for other in servers[1:]:
        picker.note_unreachable(other)
    assert len(shares(picker, servers)) > 1


def test_large_bodies_stay_in_their_zone_while_it_is_fast_enough():
    near, far = server("near", "a"), server("far", "b")
    picker = make_picker()
    picker.note_report(near, Report(slots=8, seconds=0.3))
    picker.note_report(far, Report(slots=8, seconds=0.1))
    kwargs = {"size": 60000, "target": 0.6}
    assert shares(picker, [near, far], **kwargs)["near"] == 100
    assert shares(picker, [near, far])["far"] == 100
    picker.note_report(near, Report(running=8, waiting=8, slots=8, seconds=0.3))
    assert shares(picker, [near, far], **kwargs)["far"] == 100


def test_requests_stay_in_their_zone_while_they_are_in_time_by_far():
    # Bytes between zones cost, and nobody waits too long for so little; a
    # server that is slow or full is left all the same.
    near, far = server("near", "a"), server("far", "b")
    picker = make_picker()
    picker.note_report(near, Report(slots=8, seconds=0.15))
    picker.note_report(far, Report(slots=8, seconds=0.1))
    assert shares(picker, [near, far], target=0.4)["near"] == 100
    assert shares(picker, [near, far], target=0.2)["far"] == 100
    picker.note_report(near, Report(running=8, waiting=4, slots=8, seconds=0.15))
    assert shares(picker, [near, far], target=0.4)["far"] == 100


def test_the_server_on_the_same_host_needs_no_hop():
    servers = [server("here"), server("next door")]
    picker = make_picker()
    picker.note_report(servers[0], Report(slots=8, seconds=0.12))
    picker.note_report(servers[1], Report(slots=8, seconds=0.1))
    found = shares(picker, servers, target=0.4, here="here")
    assert found["here"] == 100
    found = shares(picker, servers, target=0.2, here="here")
    assert found["next door"] == 100


def test_what_was_tried_is_not_tried_again():
    servers = [server("a"), server("b")]
    picker = make_picker()
    assert picker.choose(servers, {"a"}).id == "b"
    assert picker.choose(servers, {"a", "b"}) is None


def test_a_server_that_mostly_had_short_requests_is_not_taken_for_a_fast_one():
    # Taken together, the times of short calls and long swaps sent all calls
    # to the server that had calls already, while the others stood by.
    servers = [server("calls"), server("swaps")]
    picker = make_picker()
    for kind, seconds in (("call", 0.04), ("swap", 0.25)):
        for one in servers:
            mean = 0.05 if one.id == "calls" else 0.2
            report = Report(slots=8, seconds=mean, of_kind=seconds)
            picker.note_report(one, report, kind=kind)
    for kind in ("call", "swap"):
        assert 30 < shares(picker, servers, kind=kind)["calls"] < 70


def test_a_silent_server_is_passed_over_and_known_as_silent():
    # Its host froze: requests there fail only when their time is over.
    time = [0.0]
    servers = [server("frozen"), server("sound")]
    picker = make_picker(now=lambda: time[0])
    for one in servers:
        picker.note_report(one, Report(slots=8, seconds=0.1, of_kind=0.1), kind="k")
        for _ in range(4):
            picker.begin(one)
    time[0] = 0.6
    picker.note_report(servers[1], Report(slots=8, seconds=0.1, of_kind=0.1), kind="k")
    assert shares(picker, servers, kind="k") == {"sound": 100}
    assert [picker.is_silent(one, "k") for one in servers] == [True, False]
    for _ in range(3):
        picker.end(servers[0])
    # Too few are left there to judge by; one more tells whether it is back.
    assert not picker.is_silent(servers[0], "k")


def test_a_line_tells_of_the_best_few_servers_only():
    # With every server of a large service in each line, the lines of the
    # second in question had been pushed out when somebody came to read them.
    servers = [server(str(number)) for number in range(31)]
    picker = make_picker()
    for number, one in enumerate(servers):
        picker.note_report(one, Report(slots=8, seconds=0.1 * (31 - number)))
    told = picker.weighed(servers, "page")
    assert [item["server"] for item in told] == ["30", "29", "28", "27"]


def many_servers(count=100, zones="abcde"):
    return [server(str(n), zones[n % len(zones)]) for n in range(count)]


def choices_of(servers, *, host="h", zone="a"):
    lists = ServerLists(host=host, zone=zone)
    return lists.of({one.id: one for one in servers}, "s")


def test_of_many_servers_a_few_are_weighed_and_always_the_same():
    # With every server weighed for every request, a host's work grew with the
    # deployment: 297 us for one choice among 101.
    choices = choices_of(many_servers())
    picker = make_picker()
    drawn = {tuple(one.id for one in picker.draw(choices)) for _ in range(50)}
    assert len(drawn) == 1
    assert len(choices.few) == NEAR_SERVERS + FAR_SERVERS
    assert sum(one.zone == "a" for one in choices.few) == NEAR_SERVERS


def test_all_hosts_together_ask_all_servers_about_equally_often():
    # A server that nobody asks would stand by while others are full.
    servers = many_servers()
    asked = Counter()
    hosts = 400
    for number in range(hosts):
        zone = "abcde"[number % 5]
        choices = choices_of(servers, host=f"h{number}", zone=zone)
        asked.update(one.id for one in choices.few)
    mean = hosts * (NEAR_SERVERS + FAR_SERVERS) / len(servers)
    assert len(asked) == len(servers)
    assert mean / 2 < min(asked.values()) and max(asked.values()) < mean * 2


def test_one_server_that_goes_changes_little():
    # Connections to the others stay, and what is known of them.
    servers = many_servers()
    lists = ServerLists(host="h", zone="a")
    before = lists.of({one.id: one for one in servers}, "s")
    gone = before.few[0]
    left = {one.id: one for one in servers if one is not gone}
    after = lists.of(left, "s")
    assert gone not in after.few
    assert len(set(after.few) - set(before.few)) == 1


def test_a_server_that_leaves_is_asked_no_more():
    servers = many_servers()
    lists = ServerLists(host="h", zone="a")
    before = lists.of({one.id: one for one in servers}, "s")
    leaving = replace(before.few[0], leaving=True)
    book = {one.id: one for one in servers} | {leaving.id: leaving}
    after = lists.of(book, "s")
    assert leaving.id not in after.by_id
    assert leaving.id not in {one.id for one in after.few}


def test_all_of_few_servers_are_weighed():
    servers = many_servers(ALL_WEIGHED)
    assert make_picker().draw(choices_of(servers)) == servers


def test_a_zone_that_has_few_servers_is_filled_up_with_others():
    servers = many_servers(40, zones="abbbb")
    choices = choices_of(servers[:15])
    near = sum(one.zone == "a" for one in choices.few)
    assert near == 3 and len(choices.few) == NEAR_SERVERS + FAR_SERVERS


def test_others_are_asked_when_the_usual_ones_are_out_of_reach():
    # The zone of a host is gone, and with it most servers that it knows.
    servers = many_servers()
    choices = choices_of(servers)
    picker = make_picker()
    for one in choices.few:
        picker.note_unreachable(one)
    drawn = picker.draw(choices)
    assert drawn and not set(drawn) & set(choices.few)


def test_the_last_server_that_was_not_tried_is_found():
    # A request that nearly all have refused still gets its last chance.
    servers = many_servers()
    tried = {one.id for one in servers[:-1]}
    assert make_picker().draw(choices_of(servers), tried) == servers[-1:]


def test_the_server_on_the_same_host_is_always_weighed():
    choices = choices_of(many_servers())
    here = next(one.id for one in choices.all if one not in choices.few)
    drawn = make_picker().draw(choices, here=here)
    assert here in {one.id for one in drawn}
