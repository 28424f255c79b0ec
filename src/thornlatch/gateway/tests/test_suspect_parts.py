"""Floods and trickles of requests with a prompt part that crashes its targets."""

import heapq
import itertools
from random import Random

import pytest

from thornlatch.fleet import (
    FLEET,
    PartReport,
    RegistrySettings,
    Target,
    TargetRegistry,
    merge_parts,
)
from thornlatch.gateway._suspect_parts import SuspectParts
from thornlatch.gateway._suspect_settings import SuspectSettings
from thornlatch.gateway._suspects import CrashSuspects

HOSTS, TARGETS = 8, 9
CONTACT_TIMEOUT_S = 3.0
CRASH_S, RESTART_S = 0.1, 4.0
BAD = "bad"


def build_parts(count_runs=lambda part: 0, **settings):
    return SuspectParts(
        SuspectSettings(**settings), TargetRegistry(RegistrySettings()), count_runs
    )


def build_target(name, started_ms=1):
    return Target(name, "s", "1.2.3.4:5", "z", 32, started_ms=started_ms)


class Fleet:
    """Hosts that exchange reports, before targets that restart after each crash."""

    def __init__(self, seed, *, digest_s=0.2, relayed=False):
        self.random = Random(seed)
        self.digest_s = digest_s
        self.relayed = relayed
        self.hosts = [self.build_host(number) for number in range(HOSTS)]
        self.targets = [build_target(f"t{n}") for n in range(TARGETS)]
        self.running = {target.id: [] for target in self.targets}
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.crashed_at = []
        self.bad_sends = []
        self.sound = {"answered": 0, "refused": 0, "failed": 0}
        self.bad_part_appears_at = 0.0
        self.at(0.0, self.exchange)

    def build_host(self, number):
        return build_parts(lambda part: self.count_runs(number, part))

    def count_runs(self, number, part):
        return sum(
            run[0] == number and part in run[1]
            for runs in self.running.values()
            for run in runs
        )

    def at(self, delay_s, act, *arguments):
        entry = (self.now + delay_s, next(self.order), act, arguments)
        heapq.heappush(self.events, entry)

    def run(self, duration_s):
        until = self.now + duration_s
        while self.events and self.events[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        self.now = until

    def exchange(self):
        reports = [host.build_report(now=self.now) for host in self.hosts]
        for number, host in enumerate(self.hosts):
            if self.relayed:
                host.set_fleet_report(merge_parts(reports), now=self.now)
                continue
            for peer, report in enumerate(reports):
                if peer != number:
                    host.set_report(str(peer), report, now=self.now)
        self.at(self.digest_s, self.exchange)

    def send_repeatedly(self, rate, build_prompt):
        """Send requests at random hosts; `build_prompt` returns their shared parts."""
        self.at(self.random.expovariate(rate), self.send_repeatedly, rate, build_prompt)
        self.send(self.random.randrange(HOSTS), build_prompt(self.random), 2)

    def send(self, number, parts, attempts):
        host = self.hosts[number]
        is_bad = BAD in parts and self.now >= self.bad_part_appears_at
        if host.find_blocked(parts) is not None:
            if not is_bad:
                self.sound["refused"] += 1
            return
        live = [t for t in self.targets if t.id in self.running]
        if not live:
            return
        target = self.random.choice(live)
        run = (number, parts, attempts, host.get_known_rounds(parts))
        self.running[target.id].append(run)
        if is_bad:
            self.bad_sends.append(self.now)
            self.at(CRASH_S, self.crash, target)
        else:
            self.at(self.random.uniform(0.3, 1.5), self.complete, target, run)

    def complete(self, target, run):
        if run in self.running.get(target.id, ()):
            self.running[target.id].remove(run)
            number, parts, _, _ = run
            self.hosts[number].note_completed(parts, now=self.now)
            self.sound["answered"] += 1

    def crash(self, *targets):
        crashed = [
            target
            for target in targets
            if target in self.targets and target.id in self.running
        ]
        runs = []
        for target in crashed:
            self.crashed_at.append(self.now)
            self.at(RESTART_S, self.restart, target)
            for run in self.running.pop(target.id):
                number, parts, _, known_rounds = run
                self.hosts[number].note_aborted_run(
                    parts, target, known_rounds=known_rounds, now=self.now
                )
                runs.append(run)
        for number, parts, attempts, _ in runs:
            if attempts > 1:
                self.send(number, parts, attempts - 1)
            elif BAD not in parts:
                self.sound["failed"] += 1

    def restart(self, target):
        restarted = build_target(target.id, target.started_ms + 1)
        self.targets[self.targets.index(target)] = restarted
        self.running[target.id] = []

    def restart_host(self, number):
        for peer, host in enumerate(self.hosts):
            others = [str(n) for n in range(HOSTS) if n not in (peer, number)]
            host.retain_hosts(others, lost=[str(number)], now=self.now)
        self.hosts[number] = self.build_host(number)

    def count_late_bad_sends(self):
        """Count the bad sends later than the contact timeout after the fifth crash."""
        if len(self.crashed_at) < 5:
            return 0
        limit = self.crashed_at[4] + CONTACT_TIMEOUT_S
        return sum(sent_at > limit for sent_at in self.bad_sends)


def build_sound_prompt(random):
    """Return parts as sound callers have them: first one of few, then one of many."""
    return "first", f"tenant-{random.randrange(5)}", f"rare-{random.randrange(400)}"


def build_bad_prompt(random):
    parts = list(build_sound_prompt(random))
    parts.insert(random.randrange(1, 4), BAD)
    return tuple(parts)


SHAPES = {
    "flood": {"rate": 5.0},
    "trickle": {"rate": 0.3},
    "through relays": {"rate": 5.0, "digest_s": 0.5, "relayed": True},
}


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_bad_part_is_kept_away_and_sound_requests_are_served(seed, shape):
    shape = dict(shape)
    rate = shape.pop("rate")
    fleet = Fleet(seed, **shape)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    fleet.run(5.0)
    fleet.send_repeatedly(rate, build_bad_prompt)
    fleet.run(60.0)
    assert 3 <= len(fleet.crashed_at) <= 12
    assert fleet.count_late_bad_sends() <= 3
    # Requests with a rare part that was only in bad requests may be refused shortly.
    assert fleet.sound["refused"] <= 0.01 * fleet.sound["answered"]
    assert all("first" not in host.blocked for host in fleet.hosts)


@pytest.mark.parametrize("seed", range(20))
def test_fleet_that_starts_into_a_flood_blocks_no_common_part(seed):
    """No host knows yet which parts are sound."""
    fleet = Fleet(seed)
    fleet.send_repeatedly(5.0, build_bad_prompt)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    for _ in range(100):
        fleet.run(0.2)
        assert not any("first" in host.blocked for host in fleet.hosts)
    assert fleet.count_late_bad_sends() <= 3


@pytest.mark.parametrize("seed", range(5))
def test_part_that_turns_bad_is_kept_away(seed):
    """It was in completed answers before, of which all hosts know."""
    fleet = Fleet(seed)
    fleet.bad_part_appears_at = 10.0
    fleet.send_repeatedly(40.0, build_sound_prompt)
    fleet.send_repeatedly(5.0, build_bad_prompt)
    fleet.run(70.0)
    assert fleet.crashed_at[0] > 10.0
    assert sum(sent_at > 20.0 for sent_at in fleet.bad_sends) <= 3


@pytest.mark.parametrize("seed", range(5))
def test_block_outlasts_restarts_of_hosts(seed):
    """A host that restarts learns the blocked parts from the others."""
    fleet = Fleet(seed)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    fleet.send_repeatedly(2.0, build_bad_prompt)
    fleet.run(20.0)
    assert all(BAD in host.blocked for host in fleet.hosts)
    for number in range(HOSTS):
        fleet.hosts[number] = fleet.build_host(number)
        fleet.run(1.0)
        assert BAD in fleet.hosts[number].blocked
    fleet.run(100.0)
    assert fleet.count_late_bad_sends() <= 3


@pytest.mark.parametrize("relayed", [False, True], ids=["mesh", "relays"])
@pytest.mark.parametrize("seed", range(5))
def test_bad_part_is_kept_away_although_each_host_that_saw_it_restarts(seed, relayed):
    """Each took along the rounds that it alone had seen."""
    fleet = Fleet(seed, relayed=relayed)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    fleet.run(5.0)
    for number in itertools.islice(itertools.cycle(range(HOSTS)), 20):
        fleet.send(number, build_bad_prompt(fleet.random), 2)
        fleet.run(2.0)
        fleet.restart_host(number)
        fleet.run(1.0)
        assert not any("first" in host.blocked for host in fleet.hosts)
    assert fleet.count_late_bad_sends() <= 3
    assert fleet.sound["refused"] <= 0.01 * fleet.sound["answered"]


def add_crash(parts, part, number, *, now):
    """Abort a run that was sent when all earlier crashes of its part were known."""
    rounds = parts.get_known_rounds([part])
    target = build_target(f"t{number}")
    parts.note_aborted_run([part], target, known_rounds=rounds, now=now)


def build_host_that_adopted(reporter="1"):
    """Return a host whose peer was lost after it had reported two rounds of a part."""
    host, lost = build_parts(), build_parts()
    for number in range(2):
        add_crash(lost, "p", number, now=1.0 + number)
    host.set_report(reporter, lost.build_report(now=3.0), now=3.0)
    host.retain_hosts([], lost=["1"], now=4.0)
    host.set_report(FLEET, PartReport(), now=4.0)
    return host


@pytest.mark.parametrize("reporter", ["1", FLEET])
def test_rounds_outlast_the_host_that_saw_them(reporter):
    host, newer = build_host_that_adopted(reporter), build_parts()
    assert host.get_known_rounds(["p"]) == {"p": 2}
    # Neither do they end with the next host that is lost.
    newer.set_report("2", host.build_report(now=5.0), now=5.0)
    newer.retain_hosts([], lost=["2"], now=6.0)
    for survivor in (host, newer):
        add_crash(survivor, "p", 2, now=7.0)
        assert survivor.blocked == {"p"}


def test_adopted_rounds_are_forgotten_in_the_end():
    host = build_host_that_adopted()
    assert host.build_report(now=63.0).rounds == {"p": {"t0/1/0": 1, "t1/1/0": 2}}
    assert host.build_report(now=65.0).rounds == {}
    host.build_report(now=125.0)
    assert not host.adopted.crashes


def test_completed_answer_disproves_what_a_lost_host_reported():
    """Another host may be lost later, which had reported the same crashes."""
    host = build_host_that_adopted()
    reports = {"p": {"t0/1/0": 1, "t1/1/0": 2}}
    host.note_completed(["p"], now=5.0)
    assert host.build_report(now=6.0).rounds == {}
    host.set_report("2", PartReport(reports), now=20.0)
    host.retain_hosts([], lost=["2"], now=21.0)
    add_crash(host, "p", 2, now=22.0)
    assert host.get_known_rounds(["p"]) == {"p": 1}
    assert not host.blocked


def test_targets_that_a_lost_host_suspected_wrongly_are_cleared():
    """They are the same incarnation when each crash would be in their list."""
    host = build_host_that_adopted()
    for number in range(2):
        host.adopted.registry.apply(f"t{number}", build_target(f"t{number}"), now=4.0)
    assert host.build_report(now=6.0).rounds
    assert not host.build_report(now=8.0).rounds
    assert host.get_known_rounds(["p"]) == {}


def test_adopted_rounds_take_a_bounded_memory():
    """Those with the highest rounds are kept, which are the likeliest causes."""
    host = build_parts(size=10)
    rounds = {f"p{n}": {"t0/1/0": 1} for n in range(1000)}
    rounds["bad"] = {"t0/1/0": 1, "t1/1/0": 2}
    host.set_report("1", PartReport(dict(reversed(rounds.items()))), now=1.0)
    host.retain_hosts([], lost=["1"], now=2.0)
    assert len(host.adopted.crashes) == 10
    assert host.get_known_rounds(["bad"]) == {"bad": 2}


def test_common_part_isn_t_blocked_for_want_of_a_lost_host_s_runs():
    """Without its many aborted runs it is as likely a cause as the bad part."""
    host, lost = build_parts(settle_s=0.0), build_parts()
    for number in range(2):
        for _ in range(20):
            rounds = lost.get_known_rounds(["a-common"])
            target, now = build_target(f"t{number}"), 1.0 + number
            lost.note_aborted_run(["a-common"], target, known_rounds=rounds, now=now)
        add_crash(lost, "bad", number, now=1.0 + number)
    host.set_report("1", lost.build_report(now=3.0), now=3.0)
    host.retain_hosts([], lost=["1"], now=4.0)
    for part in ("a-common", "bad"):
        add_crash(host, part, 2, now=5.0)
    assert host.blocked == {"bad"}


@pytest.mark.parametrize("seed", range(5))
def test_loss_of_all_targets_again_and_again_blocks_no_common_part(seed):
    fleet = Fleet(seed)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    for _ in range(4):
        fleet.run(3.0)
        fleet.crash(*fleet.targets)
        assert not any("first" in host.blocked for host in fleet.hosts)
        fleet.run(RESTART_S)
    fleet.run(20.0)
    assert not any(host.blocked for host in fleet.hosts)
    assert fleet.sound["refused"] <= 0.01 * fleet.sound["answered"]


@pytest.mark.parametrize("seed", range(5))
def test_targets_lost_one_after_the_other_block_no_common_part(seed):
    fleet = Fleet(seed)
    fleet.send_repeatedly(40.0, build_sound_prompt)
    fleet.run(5.0)
    for target in list(fleet.targets):
        fleet.crash(target)
        fleet.run(0.2)
        assert not any("first" in host.blocked for host in fleet.hosts)
    fleet.run(10.0)
    assert fleet.sound["refused"] <= 0.01 * fleet.sound["answered"]


def test_crashes_of_one_round_block_nothing():
    parts = build_parts()
    for number in range(TARGETS):
        parts.note_aborted_run(
            ["p"], build_target(f"t{number}"), known_rounds={}, now=1.0
        )
    assert not parts.blocked


def test_completed_answer_clears_a_part_on_all_hosts():
    first, second = build_parts(), build_parts()
    for number in range(5):
        known_rounds = first.get_known_rounds(["p"])
        target = build_target(f"t{number}")
        first.note_aborted_run(["p"], target, known_rounds=known_rounds, now=1.0)
    for now in (1.1, 2.1):
        second.set_report("1", first.build_report(now=now), now=now)
        second.build_report(now=now)
    assert first.find_blocked(["p"]) == second.find_blocked(["p"]) == "p"
    second.note_completed(["p"], now=2.2)
    assert second.find_blocked(["p"]) is None
    first.set_report("2", second.build_report(now=2.3), now=2.3)
    assert first.find_blocked(["p"]) is None
    assert first.build_report(now=2.4).rounds == {}


def test_part_that_others_explain_isn_t_blocked():
    """A rare part of a request that was sent thrice beside the cause."""
    parts = build_parts()
    for number in range(5):
        bad = ["bad", "rare"] if number < 3 else ["bad"]
        parts.note_aborted_run(
            bad,
            build_target(f"t{number}"),
            known_rounds=parts.get_known_rounds(bad),
            now=1.0 + number,
        )
    assert parts.blocked == {"bad"}


def test_crashes_that_a_blocked_part_explains_aren_t_held_against_other_requests():
    """An innocent request that ran beside three bad ones was refused for a minute."""
    suspects = CrashSuspects(SuspectSettings(), TargetRegistry(RegistrySettings()))
    for number in range(3):
        known_rounds = suspects.parts.get_known_rounds(["bad"])
        target, now = build_target(f"t{number}"), 1.0 + number
        suspects.note_aborted_run("innocent", target, now=now)
        suspects.parts.note_aborted_run(
            ["bad"], target, known_rounds=known_rounds, now=now
        )
    assert suspects.parts.blocked == {"bad"}
    assert not suspects.is_blocked("innocent")


def test_block_ends_and_returns_for_twice_as_long_with_the_next_crash():
    parts = build_parts(block_s=10.0, memory_s=60.0)
    for number in range(3):
        known_rounds = parts.get_known_rounds(["p"])
        target = build_target(f"t{number}")
        now = 0.5 + number / 4
        parts.note_aborted_run(["p"], target, known_rounds=known_rounds, now=now)
    assert parts.build_report(now=10.9).rounds["p"]
    assert parts.blocked == {"p"}
    parts.build_report(now=11.1)
    assert not parts.blocked
    known_rounds = parts.get_known_rounds(["p"])
    target = build_target("t3")
    parts.note_aborted_run(["p"], target, known_rounds=known_rounds, now=12.0)
    parts.build_report(now=31.9)
    assert parts.blocked == {"p"}
    parts.build_report(now=32.1)
    assert not parts.blocked
