"""Tests of the choice among servers for requests without a key."""

import random
from collections import Counter

from guavastream.fleet import Instance
from guavastream.kernel import replace
from guavastream.scheduling import Picker
from guavastream.scheduling.pick import Report, format_report, parse_report
from guavastream.scheduling.servers import (
    FAR_SERVERS,
    MAX_COMPARED,
    NEAR_SERVERS,
    ServerLists,
)


def server(id, zone="a", slots=8):
    return Instance(
        id=id, service="s", host=id, door=id, address=id, zone=zone, slots=slots
    )


def make_picker(now=lambda: 0.0, zone="a"):
    return Picker(clock=now, rng=random.Random(1), zone=zone)


def count_choices(picker, servers, **kwargs):
    return Counter(picker.choose(servers, **kwargs).id for _ in range(100))


def test_fast_servers_get_more_requests_until_equally_busy():
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


def test_a_failing_server_is_avoided_despite_its_health_check():
    # The server passes its health check but fails a third of its requests. The penalty
    # decays, so that the server is tried again after it has recovered.
    time = [0.0]
    servers = [server("grey"), server("sound")]
    picker = make_picker(now=lambda: time[0])
    for _ in range(3):
        picker.note_answer(servers[0], failed=True)
    assert count_choices(picker, servers)["grey"] == 0
    time[0] = 20.0
    assert count_choices(picker, servers)["grey"] > 20


def test_unreachable_servers_are_skipped_unless_they_are_most_of_a_service():
    servers = [server(name) for name in "abcd"]
    picker = make_picker()
    picker.note_unreachable(servers[0])
    assert count_choices(picker, servers)["a"] == 0
    for other in servers[1:]:
        picker.note_unreachable(other)
    assert len(count_choices(picker, servers)) > 1


def test_a_server_that_breaks_its_answers_is_skipped_at_its_own_host():
    """Guards against a broken server that keeps its share, as it fails in no time."""
    time = [0.0]
    servers = [server("broken"), server("sound")]
    picker = make_picker(now=lambda: time[0])
    for _ in range(3):
        picker.note_answer(servers[0], failed=False)
        picker.note_broken(servers[0])
    assert count_choices(picker, servers, here="broken", target=9.0)["broken"] == 0
    time[0] = 1.0
    assert count_choices(picker, servers, here="broken", target=9.0)["broken"] == 100
    picker.note_broken(servers[0])
    time[0] = 1.7
    assert count_choices(picker, servers, here="broken", target=9.0)["broken"] == 0
    time[0] = 2.0
    picker.note_whole(servers[0])
    picker.note_broken(servers[0])
    assert count_choices(picker, servers, here="broken", target=9.0)["broken"] == 100


def test_large_bodies_stay_in_the_zone_while_it_is_fast_enough():
    near, far = server("near", "a"), server("far", "b")
    picker = make_picker()
    picker.note_report(near, Report(slots=8, seconds=0.3))
    picker.note_report(far, Report(slots=8, seconds=0.1))
    kwargs = {"size": 60000, "target": 0.6}
    assert count_choices(picker, [near, far], **kwargs)["near"] == 100
    assert count_choices(picker, [near, far])["far"] == 100
    picker.note_report(near, Report(running=8, waiting=8, slots=8, seconds=0.3))
    assert count_choices(picker, [near, far], **kwargs)["far"] == 100


def test_requests_stay_in_the_zone_while_well_within_the_target():
    # Traffic between zones costs money, and the small delay is not noticed. A slow or
    # full server in the zone is avoided nevertheless.
    near, far = server("near", "a"), server("far", "b")
    picker = make_picker()
    picker.note_report(near, Report(slots=8, seconds=0.15))
    picker.note_report(far, Report(slots=8, seconds=0.1))
    assert count_choices(picker, [near, far], target=0.4)["near"] == 100
    assert count_choices(picker, [near, far], target=0.2)["far"] == 100
    picker.note_report(near, Report(running=8, waiting=4, slots=8, seconds=0.15))
    assert count_choices(picker, [near, far], target=0.4)["far"] == 100


def test_the_server_on_the_same_host_is_preferred_if_fast_enough():
    servers = [server("here"), server("next door")]
    picker = make_picker()
    picker.note_report(servers[0], Report(slots=8, seconds=0.12))
    picker.note_report(servers[1], Report(slots=8, seconds=0.1))
    found = count_choices(picker, servers, target=0.4, here="here")
    assert found["here"] == 100
    found = count_choices(picker, servers, target=0.2, here="here")
    assert found["next door"] == 100


def test_servers_that_were_tried_are_excluded():
    servers = [server("a"), server("b")]
    picker = make_picker()
    assert picker.choose(servers, {"a"}).id == "b"
    assert picker.choose(servers, {"a", "b"}) is None


def test_a_server_with_mostly_short_requests_is_not_mistaken_for_a_fast_one():
    # With one average over short calls and long swaps, all calls went to the server
    # that already had most calls, while the others were idle.
    servers = [server("calls"), server("swaps")]
    picker = make_picker()
    for kind, seconds in (("call", 0.04), ("swap", 0.25)):
        for one in servers:
            mean = 0.05 if one.id == "calls" else 0.2
            report = Report(slots=8, seconds=mean, of_kind=seconds)
            picker.note_report(one, report, kind=kind)
    for kind in ("call", "swap"):
        assert 30 < count_choices(picker, servers, kind=kind)["calls"] < 70


def test_an_unresponsive_server_is_detected_and_avoided():
    # Requests to a frozen host fail only when they time out.
    time = [0.0]
    servers = [server("frozen"), server("sound")]
    picker = make_picker(now=lambda: time[0])
    for one in servers:
        picker.note_report(one, Report(slots=8, seconds=0.1, of_kind=0.1), kind="k")
        for _ in range(4):
            picker.begin(one)
    time[0] = 0.6
    picker.note_report(servers[1], Report(slots=8, seconds=0.1, of_kind=0.1), kind="k")
    assert count_choices(picker, servers, kind="k") == {"sound": 100}
    assert [picker.is_silent(one, "k") for one in servers] == [True, False]
    for _ in range(3):
        picker.end(servers[0])
    # Too few requests are left there for a verdict, so one more may be sent to find
    # out whether the server has recovered.
    assert not picker.is_silent(servers[0], "k")


def test_a_log_record_contains_only_the_best_servers():
    # With every server of a large service in each log record, the records of an
    # incident were pushed out of the log before they could be read.
    servers = [server(str(number)) for number in range(31)]
    picker = make_picker()
    for number, one in enumerate(servers):
        picker.note_report(one, Report(slots=8, seconds=0.1 * (31 - number)))
    summary = picker.best_servers(servers, "page")
    assert [item["server"] for item in summary] == ["30", "29", "28", "27"]


def many_servers(count=100, zones="abcde"):
    return [server(str(n), zones[n % len(zones)]) for n in range(count)]


def choices_of(servers, *, host="h", zone="a"):
    lists = ServerLists(host=host, zone=zone)
    return lists.of({one.id: one for one in servers}, "s")


def test_a_small_stable_subset_of_many_servers_is_used():
    # If all servers are compared for each request, the cost grows with the size of
    # the deployment: 297 us for one choice among 101.
    choices = choices_of(many_servers())
    picker = make_picker()
    found = {tuple(one.id for one in picker.candidates(choices)) for _ in range(50)}
    assert len(found) == 1
    assert len(choices.subset) == NEAR_SERVERS + FAR_SERVERS
    assert sum(one.zone == "a" for one in choices.subset) == NEAR_SERVERS


def test_all_servers_are_in_the_subsets_of_about_as_many_hosts():
    # A server that is in no subset would be idle while others are full.
    servers = many_servers()
    asked = Counter()
    hosts = 400
    for number in range(hosts):
        zone = "abcde"[number % 5]
        choices = choices_of(servers, host=f"h{number}", zone=zone)
        asked.update(one.id for one in choices.subset)
    mean = hosts * (NEAR_SERVERS + FAR_SERVERS) / len(servers)
    assert len(asked) == len(servers)
    assert mean / 2 < min(asked.values()) and max(asked.values()) < mean * 2


def test_removing_a_server_replaces_only_that_server():
    # Connections to the other servers and the reports about them are kept.
    servers = many_servers()
    lists = ServerLists(host="h", zone="a")
    before = lists.of({one.id: one for one in servers}, "s")
    gone = before.subset[0]
    left = {one.id: one for one in servers if one is not gone}
    after = lists.of(left, "s")
    assert gone not in after.subset
    assert len(set(after.subset) - set(before.subset)) == 1


def test_a_leaving_server_gets_no_more_requests():
    servers = many_servers()
    lists = ServerLists(host="h", zone="a")
    before = lists.of({one.id: one for one in servers}, "s")
    leaving = replace(before.subset[0], leaving=True)
    instances = {one.id: one for one in servers} | {leaving.id: leaving}
    after = lists.of(instances, "s")
    assert leaving.id not in after.by_id
    assert leaving.id not in {one.id for one in after.subset}


def test_all_servers_of_a_small_service_are_compared():
    servers = many_servers(MAX_COMPARED)
    assert make_picker().candidates(choices_of(servers)) == servers


def test_the_subset_is_filled_from_other_zones_if_the_zone_is_small():
    servers = many_servers(40, zones="abbbb")
    choices = choices_of(servers[:15])
    near = sum(one.zone == "a" for one in choices.subset)
    assert near == 3 and len(choices.subset) == NEAR_SERVERS + FAR_SERVERS


def test_other_servers_are_used_if_the_subset_is_unreachable():
    # A failure of the zone takes down most servers of the subset.
    servers = many_servers()
    choices = choices_of(servers)
    picker = make_picker()
    for one in choices.subset:
        picker.note_unreachable(one)
    found = picker.candidates(choices)
    assert found and not set(found) & set(choices.subset)


def test_the_last_untried_server_is_found():
    # A request that nearly all servers have refused is still tried at the last one.
    servers = many_servers()
    tried = {one.id for one in servers[:-1]}
    assert make_picker().candidates(choices_of(servers), tried) == servers[-1:]


def test_the_server_on_the_same_host_is_always_a_candidate():
    choices = choices_of(many_servers())
    here = next(one.id for one in choices.all if one not in choices.subset)
    found = make_picker().candidates(choices, here=here)
    assert here in {one.id for one in found}


def test_servers_are_compared_by_the_wait_of_the_class_of_a_request():
    # One server has slots reserved for urgent requests, the other one none free. By its
    # queue of less urgent requests, the first one would look slower to urgent ones.
    servers = [server("reserving"), server("full")]
    picker = make_picker()
    waits = {"most_urgent_wait": 0.0, "least_urgent_wait": 1.0}
    report = Report(running=6, waiting=9, slots=8, seconds=0.2, **waits)
    picker.note_report(servers[0], report)
    waits = {"most_urgent_wait": 0.2, "least_urgent_wait": 0.2}
    report = Report(running=8, waiting=0, slots=8, seconds=0.2, **waits)
    picker.note_report(servers[1], report)
    assert count_choices(picker, servers)["reserving"] == 100
    assert count_choices(picker, servers, class_position=1.0)["full"] == 100
    assert count_choices(picker, servers, class_position=0.5)["full"] == 100


def test_requests_sent_since_a_report_fill_the_free_slots_first():
    servers = [server("a"), server("b")]
    picker = make_picker()
    for one in servers:
        waits = {"most_urgent_wait": 0.0, "least_urgent_wait": 0.0}
        report = Report(running=4, slots=8, seconds=0.2, **waits)
        picker.note_report(one, report)
    sent = Counter()
    for _ in range(12):
        chosen = picker.choose(servers)
        picker.begin(chosen)
        sent[chosen.id] += 1
    assert sent["a"] == sent["b"]


def test_reports_with_waits_by_class_are_encoded_without_loss():
    for wait in (0.0, 0.1):
        report = Report(
            running=3,
            waiting=2,
            slots=6,
            wait=wait,
            most_urgent_wait=0.0,
            least_urgent_wait=0.25,
        )
        assert parse_report(format_report(report)) == report


def test_reports_without_waits_by_class_are_encoded_as_before():
    # Processes that reserve no slots send what earlier versions sent.
    report = Report(running=3, waiting=2, slots=6, seconds=0.1, of_kind=0.05)
    assert format_report(report) == b"3,2,6,100,50"
    assert format_report(replace(report, wait=0.1)) == b"3,2,6,100,50,100"
    assert parse_report(b"3,2,6,100,50") == report


def test_reports_with_further_values_are_parsed():
    # A later version may append values. Earlier versions ignore those after the sixth
    # and take the sixth for the wait of a limited server; 0 stands for none.
    assert parse_report(b"3,2,6,100,50,0,0,250,7,8").least_urgent_wait == 0.25
    assert format_report(Report(most_urgent_wait=0.0, least_urgent_wait=0.0)) == (
        b"0,0,1,0,0,0,0,0"
    )
