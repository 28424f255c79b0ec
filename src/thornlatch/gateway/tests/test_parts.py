"""Small parts of the gateway: events, health, work, crash suspects and log lines."""

import contextlib
import json
import logging
import os
import threading

import logbook
import pytest

from thornlatch.exceptions import ErrorKind
from thornlatch.fleet import RegistrySettings, Target, TargetRegistry
from thornlatch.gateway import CallerRequest, LogSettings
from thornlatch.gateway._events import EVENT_LIMIT_BYTES, EventSplitter
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._load_bucket import LoadTokenBucket
from thornlatch.gateway._logs import JsonLineHandler, redirect_library_logs
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspect_settings import SuspectSettings
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import RunningRequest, WorkTable


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_events_are_complete_whatever_the_read_sizes(size):
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 4\nda"
    splitter, events = EventSplitter(), []
    for start in range(0, len(data), size):
        events += splitter.feed(data[start : start + size])
    assert [event.id for event in events] == [1, 2, None]
    assert b"".join(event.data for event in events) + splitter.rest == data


def test_too_long_event_is_an_error():
    with pytest.raises(ValueError, match="longer"):
        EventSplitter().feed(b"x" * (EVENT_LIMIT_BYTES + 1))


@pytest.mark.parametrize(
    ("text", "number"),
    [
        pytest.param("1764880000000000000", 1764880000000000000, id="nanoseconds"),
        pytest.param("9" * 5000, None, id="over-the-limit-of-int"),
        pytest.param("²", None, id="digit-of-another-kind"),
        pytest.param("-1", None, id="sign"),
    ],
)
def test_events_beside_one_with_an_unusual_id_are_passed_on(text, number):
    data = f"id: 1\ndata: x\n\nid: {text}\ndata: x\n\n".encode()
    assert [event.id for event in EventSplitter().feed(data)] == [1, number]


def test_unreachable_target_is_avoided_for_longer_each_time():
    health = TargetHealth(ForwardingSettings())
    avoided_s = [
        health.note_failure("t", now=n * 10.0, is_unreachable=True) for n in range(5)
    ]
    assert avoided_s == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert health.is_avoided("t", now=43.0)
    health.note_success("t", None, now=45.0)
    assert health.note_failure("t", now=50.0, is_unreachable=True) == 0.5


def test_target_that_fails_part_of_its_requests_is_avoided():
    health = TargetHealth(ForwardingSettings())
    longest_avoided_s = 0.0
    for number in range(40):
        if number % 2:
            health.note_success("t", None, now=number)
        else:
            longest_avoided_s = max(
                longest_avoided_s,
                health.note_failure("t", now=number, is_unreachable=False),
            )
    assert longest_avoided_s > 0


def test_target_with_a_single_error_is_not_avoided():
    health = TargetHealth(ForwardingSettings())
    assert health.note_failure("t", now=1.0, is_unreachable=False) == 0
    assert not health.is_avoided("t", now=1.0)


def test_requests_of_disconnected_callers_and_expired_requests_are_stopped():
    work, stopped = WorkTable(), []
    disconnected = RunningRequest("a", 100.0, lambda: True)
    expired = RunningRequest("b", 5.0, lambda: False)
    unaffected = RunningRequest("c", 100.0, lambda: False)
    for running in (disconnected, expired, unaffected):
        running.set_abort(lambda name=running.id: stopped.append(name))
        work.add(running)
    work.stop_expired(now=6.0)
    assert sorted(stopped) == ["a", "b"]
    assert expired.stop_reason is ErrorKind.DEADLINE_UNREACHABLE
    assert unaffected.stop_reason is None


def test_call_to_a_target_after_the_stop_is_aborted_at_once():
    running, stopped = RunningRequest("a", 1.0, lambda: False), []
    running.stop(ErrorKind.DEADLINE_UNREACHABLE)
    running.set_abort(lambda: stopped.append("a"))
    assert stopped == ["a"]


def test_work_is_counted_by_target_and_adapter():
    work = WorkTable()
    uses = [work.begin("t", "m/a"), work.begin("t", "m/a"), work.begin("t", "")]
    assert work.get_total("t") == 3
    assert work.get_uses("t") == {"m/a": 2, "": 1}
    for use in uses:
        work.end(use)
    assert work.list_counts() == ()
    assert work.get_total("t") == 0


def test_use_that_is_ended_twice_is_subtracted_once():
    work = WorkTable()
    use, _ = work.begin("t", "m/a"), work.begin("t", "m/a")
    work.end(use)
    work.end(use)
    assert work.get_uses("t") == {"m/a": 1}


def test_only_the_first_and_the_last_request_for_an_adapter_are_told():
    notes = []
    work = WorkTable(on_use=lambda *note: notes.append(note))
    uses = [work.begin("t", adapter) for adapter in ("m/a", "m/a", "m/b", "")]
    assert notes == [("t", "m/a", True), ("t", "m/b", True)]
    notes.clear()
    for use in uses:
        work.end(use)
    assert notes == [("t", "m/a", False), ("t", "m/b", False)]


def test_recent_prompt_tokens_decay():
    work = WorkTable()
    work.begin("t", "", 100, now=1.0)
    work.begin("t", "", 30, now=1.0)
    assert work.get_recent_prompt_tokens("t", now=1.0) == pytest.approx(130)
    assert work.get_recent_prompt_tokens("t", now=1.3) == pytest.approx(
        130 / 2.718, rel=0.01
    )
    assert work.list_recent_prompt_tokens(now=1.0) == {"t": 130}
    assert work.list_recent_prompt_tokens(now=9.0) == {}


def test_prefill_time_follows_the_prompts_that_did_not_queue():
    health = TargetHealth(ForwardingSettings())
    for _ in range(30):
        health.note_prefill("llm", 1000, 0.02)
        health.note_prefill("llm", 1000, 0.8)
    assert 1.5e-5 < health.get_prefill_s("llm") < 4e-5


def request(number="1", body=b"x"):
    return CallerRequest(
        number, "POST", "/p", "h", "k", 1.0, "", "", 1, 1, (), "", (), body
    )


def test_repetitions_of_a_request_have_the_same_fingerprint():
    assert request("1").fingerprint == request("2").fingerprint
    assert request().fingerprint != request(body=b"y").fingerprint


def build_suspects(**settings):
    registry = TargetRegistry(RegistrySettings())
    suspects = CrashSuspects(SuspectSettings(**settings), registry)
    for name in "abc":
        registry.apply(name, build_target(name), now=0.0)
    return suspects


def build_target(name, started_ms=1):
    return Target(name, "s", "1.2.3.4:5", "z", 8, started_ms=started_ms)


def test_request_with_three_crashes_over_all_hosts_is_blocked():
    suspects = build_suspects()
    suspects.note_aborted_run("f", build_target("a"), now=1.0)
    assert not suspects.is_blocked("f")
    suspects.set_peer_crashes("h", {"f": ("a/1/0", "b/1/0")})
    suspects.set_peer_crashes("i", {"f": ("c/1/0",), "g": ("a/1/0",)})
    assert suspects.is_blocked("f")
    assert not suspects.is_blocked("g")


CRASHES = {"f": ("a/1/0", "b/1/0", "c/1/0")}


def restart_targets(suspects):
    for name in "abc":
        suspects.registry.apply(name, build_target(name, 2), now=1.0)


def report(suspects, reporter):
    if reporter == "relay":
        suspects.set_fleet_crashes(CRASHES)
    else:
        suspects.set_peer_crashes("h", CRASHES)


@pytest.mark.parametrize("reporter", ["host", "relay"])
def test_crashes_outlast_the_hosts_that_saw_them(reporter):
    """A deadly request crashed as many targets again after a planned restart."""
    suspects, successor = build_suspects(), build_suspects()
    restart_targets(suspects)
    report(suspects, reporter)
    suspects.retain_hosts(["i"], lost=["h"], now=10.0)
    suspects.set_fleet_crashes({})
    assert suspects.is_blocked("f")
    # Neither do they end with the next host that is lost.
    restart_targets(successor)
    successor.set_peer_crashes("i", suspects.list_own_crashes(now=20.0))
    successor.retain_hosts([], lost=["i"], now=25.0)
    assert successor.is_blocked("f")
    assert suspects.list_own_crashes(now=69.0) == CRASHES
    assert suspects.list_own_crashes(now=71.0) == {}
    assert not suspects.is_blocked("f")


def test_all_requests_of_one_crash_outlast_the_host_that_saw_it():
    """Only the first one of a crash was adopted."""
    crash_ids = CRASHES["f"]
    suspects = build_suspects()
    restart_targets(suspects)
    suspects.set_peer_crashes("h", {"g": crash_ids[:1], "f": crash_ids})
    suspects.retain_hosts([], lost=["h"], now=10.0)
    assert suspects.is_blocked("f")
    assert suspects.count_crashes("g") == 1


@pytest.mark.parametrize("reporter", ["host", "relay"])
def test_targets_that_a_lost_host_suspected_wrongly_are_cleared(reporter):
    suspects = build_suspects()
    report(suspects, reporter)
    suspects.retain_hosts(["i"], lost=["h"], now=10.0)
    suspects.set_fleet_crashes({})
    assert suspects.list_own_crashes(now=12.0) == CRASHES
    # They are still the same incarnations, so they didn't crash.
    assert suspects.list_own_crashes(now=14.0) == {}
    restart_targets(suspects)
    assert suspects.list_own_crashes(now=15.0) == {}


def test_hosts_that_adopt_from_each_other_forget_in_the_end():
    hosts = [build_suspects(), build_suspects()]
    for host in hosts:
        restart_targets(host)
        report(host, "host")
        host.retain_hosts(["other"], lost=["h"], now=10.0)
    for now in range(20, 140, 10):
        first, second = (host.list_own_crashes(now=now) for host in hosts)
        for host, crashes in ((hosts[0], second), (hosts[1], first)):
            host.set_fleet_crashes(crashes)
            host.retain_hosts(["other"], lost=[f"lost-{now}"], now=now)
        assert hosts[0].is_blocked("f") == (now < 70)


def test_crashes_that_a_relay_reported_outlast_a_new_host():
    suspects = build_suspects()
    suspects.set_fleet_crashes(CRASHES)
    suspects.retain_hosts(["h"], lost=[], now=1.0)
    assert suspects.is_blocked("f")


def test_one_model_load_token_passes_one_order():
    bucket = LoadTokenBucket()
    bucket.set_rate(1.0)
    assert bucket.has_token(now=1.0)
    assert [bucket.try_take(now=1.0) for _ in range(3)] == [True, False, False]
    bucket.give_back()
    assert bucket.try_take(now=1.0)
    assert not bucket.try_take(now=1.9)
    assert bucket.try_take(now=2.0)


def test_one_crash_that_aborts_several_equal_requests_counts_once():
    """Counted several times, it made all hosts refuse such requests for a minute.

    Found by the soak test with seed 113.
    """
    suspects = build_suspects()
    for _ in range(3):
        suspects.note_aborted_run("f", build_target("a"), now=1.0)
    suspects.set_peer_crashes("h", {"f": ("a/1/0",)})
    assert not suspects.is_blocked("f")


def test_target_that_crashes_again_counts_again():
    suspects = build_suspects()
    for number in range(3):
        suspects.note_aborted_run("f", build_target("a"), now=1.0 + 5 * number)
    assert suspects.is_blocked("f")


def test_targets_that_answer_soon_after_an_aborted_run_have_not_crashed():
    suspects = build_suspects()
    for name in "abc":
        suspects.note_aborted_run("f", build_target(name), now=1.0)
        suspects.note_answer(build_target(name), sent_at=0.9, now=1.1)
    assert suspects.list_own_crashes(now=1.2).keys() == {"f"}
    for name in "abc":
        suspects.note_answer(build_target(name), sent_at=1.2, now=1.3)
    assert suspects.list_own_crashes(now=1.4) == {}
    assert not suspects.is_blocked("f")


@pytest.mark.parametrize(("started_ms", "is_kept"), [(1, False), (2, True)])
def test_target_that_answers_later_may_have_restarted(started_ms, is_kept):
    """The registry may not show the target's new incarnation yet."""
    suspects = build_suspects()
    suspects.note_aborted_run("f", build_target("a"), now=1.0)
    suspects.note_answer(build_target("a"), sent_at=6.0, now=6.1)
    assert suspects.list_own_crashes(now=7.0) == {"f": ("a/1/0",)}
    suspects.registry.apply("a", build_target("a", started_ms), now=8.0)
    assert bool(suspects.list_own_crashes(now=9.2)) is is_kept


def test_aborted_runs_expire_and_are_bounded_in_number():
    suspects = build_suspects(memory_s=60.0, size=2)
    for number, name in enumerate("fgh"):
        suspects.note_aborted_run(name, build_target("a"), now=float(number))
    assert suspects.list_own_crashes(now=10.0).keys() == {"g", "h"}
    assert suspects.list_own_crashes(now=61.5).keys() == {"h"}


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def write_lines(log, event, count):
    logger = logbook.Logger("test")
    with log.applicationbound():
        for number in range(count):
            logger.info(event, extra={"request": str(number)})


def test_log_volume_is_bounded_and_dropped_lines_are_counted(pipe):
    reader, writer = pipe
    log = JsonLineHandler(LogSettings(lines_per_s=50), host="h", descriptor=writer)
    write_lines(log, "request.answered", 100)
    write_lines(log, "request.failed", 100)
    log.close()
    log.run()
    lines = [json.loads(x) for x in os.read(reader, 1 << 20).splitlines()]
    counts = lines[-1]["counts"]
    assert lines[-1]["event"] == "log.lines_left_out"
    assert len(lines) - 1 + sum(counts.values()) == 200
    assert len(lines) <= 60
    # Lines of failures have a reserved share of the allowance.
    assert sum(line["event"] == "request.failed" for line in lines) >= 15


def test_messages_of_the_http_server_are_logged_as_events(pipe):
    reader, writer = pipe
    log = JsonLineHandler(LogSettings(), host="h", descriptor=writer)
    redirect_library_logs("waitress")
    with log.applicationbound():
        logging.getLogger("waitress").warning("odd %s", "header")
        logging.getLogger("waitress.queue").warning("Task queue depth is 1")
    log.close()
    log.run()
    (line,) = [json.loads(x) for x in os.read(reader, 1 << 16).splitlines()]
    assert (line["event"], line["text"]) == ("host.library_message", "odd header")


def test_reader_that_stops_reading_delays_nobody(pipe):
    reader, writer = pipe
    settings = LogSettings(lines_per_s=1e6, routine_ratio=1.0, queue_lines=100)
    log = JsonLineHandler(settings, host="h", descriptor=writer)
    filling = fill_pipe(writer)
    thread = threading.Thread(target=log.run, daemon=True)
    thread.start()
    write_lines(log, "request.failed", 1)
    while log.lines:
        thread.join(0.01)
    # The writer's thread has taken the line and can't write it to the full pipe.
    write_lines(log, "request.failed", 5000)
    assert log.left_out["request.failed"] == 5000 - settings.queue_lines
    assert len(log.lines) == settings.queue_lines
    assert thread.is_alive()
    log.close()
    data = b""
    while data.count(b"lines_left_out") == 0:
        data += os.read(reader, 1 << 16)
    thread.join(20)
    assert not thread.is_alive()
    lines = [json.loads(line) for line in data[filling:].splitlines()]
    assert len(lines) == 1 + settings.queue_lines + 1
    assert lines[-1]["counts"] == {"request.failed": 5000 - settings.queue_lines}


def fill_pipe(writer):
    """Fill a pipe and return the number of bytes."""
    os.set_blocking(writer, False)
    written = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            written += os.write(writer, b"." * 4096)
    os.set_blocking(writer, True)
    return written
