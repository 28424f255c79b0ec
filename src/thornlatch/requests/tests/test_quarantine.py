from dataclasses import replace

import pytest

from thornlatch.core import Append, Resolve, Send, decode_record, encode_record
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.requests import (
    IsolationRequired,
    Quarantine,
    Refuse,
    RunIsolated,
    RunNormally,
    make_fingerprint,
)
from thornlatch.requests.tests.claim_histories import View
from thornlatch.requests.tests.quarantine_fleets import (
    SETTINGS,
    Fleet,
    Plan,
    rank_targets,
)

PLANS = {
    "repeated": Plan(),
    "concurrent": Plan(is_concurrent=True),
    "half-of-messages-lost": Plan(message_loss=0.5),
    "two-crashers": Plan(crashers=2),
    "log-outage": Plan(outage=(0.4, 3.0)),
    "host-lost": Plan(host_loss_at=1.0),
    "domain-lost": Plan(crashers=0, domain_loss_at=0.6),
}


@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS)
@pytest.mark.parametrize("seed", range(2))
def test_fleet_bounded(seed, plan):
    fleet = Fleet(seed, plan).run()
    assert max(fleet.crash_counts.values(), default=0) <= 2
    assert fleet.wrongly_refused == []
    assert fleet.calls == {}, "every caller has its answer"


class KeepsToItself(Quarantine):
    def handle(self, message, *, sender, now):
        return []

    def apply_record(self, offset, record, *, now):
        mine = record.host == self.host
        return super().apply_record(offset, record, now=now) if mine else []


class BlamesAll(Quarantine):
    def _judge_failure(self, failure, *, now):
        for one in failure.running:
            self.provisional.refuse(one.fingerprint, now=now)
        return []


class ClearsAll(Quarantine):
    def _judge_failure(self, failure, *, now):
        return self._clear(failure.fingerprints, now=now)


class ForgetsRefused(Quarantine):
    def tick(self, *, now):
        self.fold.refused.clear()
        self.provisional.refused.clear()
        return super().tick(now=now)


@pytest.mark.parametrize(
    ("broken", "plan"),
    [
        (KeepsToItself, Plan()),
        (BlamesAll, Plan()),
        (ClearsAll, Plan(duration_s=1.0)),
        (ForgetsRefused, Plan()),
        (Quarantine, Plan(is_concurrent=True, keeps_copies_together=False)),
    ],
    ids=["not-spread", "blames-all", "clears-all", "forgets", "copies-apart"],
)
def test_fleet_broken(broken, plan):
    fleet = Fleet(0, plan, broken).run()
    assert max(fleet.crash_counts.values()) > 2 or fleet.wrongly_refused


class Bench:
    """Hosts on one log without faults."""

    def __init__(self, settings=SETTINGS, hosts=("a", "b")):
        self.view = View(list(hosts))
        self.nodes = {h: Quarantine(settings, host=h, leases=self.view) for h in hosts}
        self.now = 10.0
        self.values = {}
        self.lost_peers = set()

    def do(self, host, actions):
        for action in actions:
            if isinstance(action, Append):
                record = decode_record(encode_record(action.record))
                for name, node in self.nodes.items():
                    self.do(name, node.apply_record(0, record, now=self.now))
            elif isinstance(action, Send) and action.recipient not in self.lost_peers:
                node = self.nodes[action.recipient]
                sent = node.handle(action.message, sender=host, now=self.now)
                self.do(action.recipient, sent)
            elif isinstance(action, Resolve):
                self.values[action.ticket] = action.value

    def wait(self, seconds=0.5):
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            for name, node in self.nodes.items():
                self.do(name, node.tick(now=self.now))

    def start(self, host, request, fingerprint, target, isolation_id=""):
        self.nodes[host].note_started(
            request, fingerprint, target=target, now=self.now, isolation_id=isolation_id
        )

    def kill(self, target, domain="d", domain_targets=4):
        for name, node in self.nodes.items():
            died = node.note_target_failure(
                target,
                failure_domain=domain,
                domain_targets=domain_targets,
                now=self.now,
            )
            self.do(name, died)

    def request_isolation(self, host, ticket, fingerprint):
        entered = self.nodes[host].request_isolation(
            ticket, fingerprint, pool="p", now=self.now
        )
        self.do(host, entered)

    def check(self, host, fingerprint):
        return self.nodes[host].check(fingerprint, now=self.now)


def test_suspect_known_to_peers_at_once():
    bench = Bench()
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    assert isinstance(bench.check("b", "f"), IsolationRequired)
    assert isinstance(bench.check("b", "other"), RunNormally)


def test_suspect_known_by_log_when_messages_are_lost():
    bench = Bench()
    bench.lost_peers = {"b"}
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    assert isinstance(bench.check("b", "f"), RunNormally)
    bench.wait()
    assert isinstance(bench.check("b", "f"), IsolationRequired)


def test_second_death_refuses_everywhere():
    bench = Bench()
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    bench.request_isolation("a", "r", "f")
    bench.request_isolation("b", "repeat", "f")
    bench.wait()
    turn = bench.values["r"]
    assert isinstance(turn, RunIsolated)
    assert turn.excluded == ("t1",)
    assert "repeat" not in bench.values, "one isolated run at a time"
    bench.start("a", "r", "f", "t2", isolation_id=turn.isolation_id)
    bench.kill("t2", "e")
    bench.wait()
    assert bench.values["repeat"].kind is ErrorKind.QUARANTINED
    for host in bench.nodes:
        assert isinstance(bench.check(host, "f"), Refuse)
    bench.wait(1.0)
    bench.now += SETTINGS.refused_s
    bench.wait(0.1)
    assert isinstance(bench.check("b", "f"), RunNormally)


@pytest.mark.parametrize("ending", ["finished", "left", "turn-returned", "host-gone"])
def test_isolated_turn_passes_on(ending):
    bench = Bench()
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    bench.request_isolation("a", "r", "f")
    bench.wait(0.1)
    bench.request_isolation("b", "next", "f")
    bench.wait()
    isolation_id = bench.values["r"].isolation_id
    node = bench.nodes["a"]
    if ending == "finished":
        bench.start("a", "r", "f", "t2", isolation_id=isolation_id)
        bench.do("a", node.note_finished("r", now=bench.now))
    elif ending == "host-gone":
        del bench.nodes["a"]
        bench.lost_peers = {"a"}
        bench.view.hosts.remove("a")
    else:
        bench.do("a", node.release_isolation(isolation_id, "f", now=bench.now))
    bench.wait(SETTINGS.gone_grace_s + 1)
    expected = RunNormally if ending == "finished" else RunIsolated
    assert isinstance(bench.values["next"], expected)


def test_suspect_beside_culprit_runs_alone():
    bench = Bench(replace(SETTINGS, isolated_per_pool=1))
    for name in ("bad", "other"):
        bench.start("a", name, name, "t1")
    bench.kill("t1")
    bench.request_isolation("a", "bad", "bad")
    bench.request_isolation("a", "other", "other")
    bench.wait()
    bench.start("a", "bad", "bad", "t2", isolation_id=bench.values["bad"].isolation_id)
    assert "other" not in bench.values
    bench.kill("t2", "e")
    bench.wait()
    assert isinstance(bench.values["other"], RunIsolated)


class ClearsBeside(Quarantine):
    def _announce_refused(self, refused, failure, *, now):
        beside = {
            fingerprint
            for fingerprint in self.fold.suspects
            if refused and fingerprint not in refused
        }
        return self._clear(beside, now=now) if beside else []


@pytest.mark.parametrize("seed", [509, 579])
def test_two_crashers_on_one_target(seed):
    plan = Plan(crashers=2)
    assert max(Fleet(seed, plan).run().crash_counts.values()) <= 2
    assert max(Fleet(seed, plan, ClearsBeside).run().crash_counts.values()) > 2


@pytest.mark.parametrize(("died", "is_clear"), [(1, False), (2, False), (3, True)])
def test_domain_loss_suspects_none(died, is_clear):
    bench = Bench()
    for index in range(died):
        bench.start("a", f"r{index}", f"f{index}", f"t{index}")
    for index in range(died):
        bench.kill(f"t{index}")
        bench.now += 0.05
    bench.wait()
    expected = RunNormally if is_clear else IsolationRequired
    assert isinstance(bench.check("b", "f0"), expected)


def test_domain_loss_keeps_what_ran_on_two():
    bench = Bench()
    bench.start("a", "r0", "f", "t0")
    bench.start("b", "r1", "f", "t1")
    for index in range(3):
        bench.kill(f"t{index}")
    bench.wait()
    assert isinstance(bench.check("a", "f"), IsolationRequired)


def test_slow_isolated_run_cleared():
    bench = Bench()
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    bench.request_isolation("a", "r", "f")
    bench.wait()
    bench.start("a", "r", "f", "t2", isolation_id=bench.values["r"].isolation_id)
    bench.now += SETTINGS.isolation_timeout_s
    bench.wait()
    assert isinstance(bench.check("b", "f"), RunNormally)


def test_unused_turn_passes_on():
    bench = Bench(replace(SETTINGS, isolation_timeout_s=5.0))
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    bench.request_isolation("a", "r", "f")
    bench.wait()
    bench.request_isolation("b", "next", "f")
    bench.wait(4.0)
    assert "next" not in bench.values
    bench.wait(2.0)
    assert isinstance(bench.values["next"], RunIsolated)


def test_wait_bounded():
    bench = Bench()
    bench.start("a", "r", "f", "t1")
    bench.kill("t1")
    bench.request_isolation("a", "r", "f")
    bench.wait()
    bench.request_isolation("b", "late", "f")
    bench.wait(SETTINGS.wait_s + 0.1)
    refusal = bench.values["late"]
    assert isinstance(refusal, RequestRefused)
    assert refusal.kind is ErrorKind.TARGET_FAILED
    assert refusal.retry_after_s


def test_entries_bounded_and_expire():
    bench = Bench(replace(SETTINGS, entries_limit=16))
    for index in range(100):
        bench.start("a", f"r{index}", f"f{index}", "t1")
    bench.kill("t1")
    bench.wait()
    assert len(bench.nodes["b"].fold.suspects) == 16
    bench.now += SETTINGS.suspect_s
    bench.wait(0.1)
    assert not bench.nodes["b"].fold.suspects
    assert not bench.nodes["b"].provisional.suspects


def test_fingerprint_names_all_parts():
    parts = [("o", "a@1", b"x"), ("p", "a@1", b"x"), ("o", "a@2", b"x")]
    made = {make_fingerprint(*one) for one in [*parts, ("o", "a@1", b"y")]}
    assert len(made) == 4


def test_rank_targets_is_stable():
    names = [f"t{index}" for index in range(9)]
    ranked = rank_targets("f", names)
    assert ranked == rank_targets("f", reversed(names))
    assert rank_targets("f", names[1:]) == [name for name in ranked if name != "t0"]


def test_unsent_isolated_run_is_no_death():
    """Found by repeated CI runs: the set-aside target was dead before the send."""
    bench = Bench()
    quarantine = bench.nodes["a"]
    quarantine.note_started("r", "fp", target="t1", now=10.0, isolation_id="a/1")
    quarantine.note_unsent("r", now=10.1)
    quarantine.note_target_failure("t1", failure_domain="d", domain_targets=3, now=10.2)
    quarantine.tick(now=15.0)
    assert "fp" not in quarantine.provisional.refused
    assert "fp" not in quarantine.provisional.suspects
