import hashlib
from dataclasses import replace

import pytest

from thornlatch.core import Append, Resolve, decode_record, encode_record
from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.requests import ClaimTable, ClaimWon, RecordedAnswer, RequestsSettings
from thornlatch.requests._claim_fold import ClaimEntry, ClaimFold
from thornlatch.requests._idempotency import record_answer
from thornlatch.requests.tests.claim_histories import SETTINGS, History, View

WALL = 1_700_000_000.0
DATED = "018bcfe5-6800-7000-8000-000000000000"  # Names WALL.


@pytest.mark.parametrize("seed", range(60))
def test_history_kept(seed):
    history = History(seed).run()
    assert history.check() == []
    assert history.find_unanswered() == []


@pytest.mark.parametrize("seed", range(5))
def test_history_past_window(seed):
    history = History(seed, duration_s=20.0, keys=20).run()
    assert history.check() == []
    keys = [run.key for run in history.runs]
    assert len(keys) > len(set(keys)), "keys run again after the window"


@pytest.mark.parametrize("skew", [-60.0, 60.0], ids=["behind", "ahead"])
@pytest.mark.parametrize("seed", range(6))
def test_history_one_wrong_clock(seed, skew):
    history = History(seed, duration_s=12.0, keys=12, skew=skew).run()
    assert history.check() == []


class FoldTrustsAnyClock(ClaimFold):
    @property
    def clock(self):
        return self.host_times[0][0] if self.host_times else float("-inf")


def test_history_one_wrong_clock_trusted():
    broken = break_fold(FoldTrustsAnyClock)
    histories = [
        History(seed, broken, duration_s=12.0, keys=12, skew=60.0) for seed in range(6)
    ]
    assert any(history.run().find_duplicate_runs() for history in histories)


class SendsBeforeReadBack(ClaimTable):
    def _make_claim(self, waiter, *, now):
        super()._make_claim(waiter, now=now)
        claim = self.pending_claims[waiter.key]
        self._early = (waiter, ClaimWon(claim, now + 9))

    def claim(self, ticket, **rest):
        self._early = None
        actions = super().claim(ticket, **rest)
        return actions + self._resolve(*self._early) if self._early else actions

    def begin(self, claim, *, now):
        return True


class FoldAcceptsSecond(ClaimFold):
    def _claim(self, item, host):
        key = (item.organisation, item.key)
        self.entries[key] = ClaimEntry(
            item.claim, host, item.body_digest, item.expires_at
        )
        self.keys_by_claim[item.claim] = key


class FoldForgetsEarly(ClaimFold):
    def _advance(self, wall_time, host):
        super()._advance(wall_time + 5.5, host)


class FoldFreesByAnyHost(ClaimFold):
    def _find_own(self, claim, host):
        return None

    def release(self, claim, *, host):
        for key in list(self.entries):
            del self.entries[key]
        self.keys_by_claim.clear()


class ReleasesAfterSend(ClaimTable):
    def abandon(self, claim, *, is_certain_not_run, now):
        return super().abandon(claim, is_certain_not_run=True, now=now)


class ForgetsGivenUp(ClaimTable):
    def _withdraw(self, claim, *, now):
        own = self.own_claims[claim]
        self.pending_claims.pop((own.record.organisation, own.record.key))
        self.given_up = getattr(self, "given_up", {})
        waiters = self.waiters.get((own.record.organisation, own.record.key))
        self.given_up[claim] = waiters[0].ticket if waiters else None
        return []

    def _decide(self, record, *, now):
        ticket = getattr(self, "given_up", {}).pop(record.claim, None)
        if ticket and self.fold.find(record.claim):
            self.own_claims[record.claim].state = self.own_claims[
                record.claim
            ].state.WON
            self.late = [*getattr(self, "late", []), (record.claim, ticket)]
            return []
        return super()._decide(record, now=now)


class LateSendsHistory(History):
    """Sends what `ForgetsGivenUp` takes for a won claim."""

    def step(self):
        super().step()
        for node in self.nodes.values():
            for claim, ticket in getattr(node.table, "late", []):
                node.won[claim] = (ticket, self.now)
            node.table.late = []


class GoneClaimersRunAgain(ClaimTable):
    def _settle(self, key, *, now):
        entry = self.fold.entries.get(key)
        if (
            entry
            and not entry.answer
            and self.departed_hosts.has_departed(entry.host, now=now)
        ):
            self.fold.keys_by_claim.pop(self.fold.entries.pop(key).claim)
        return super()._settle(key, now=now)


def break_fold(fold):
    class Broken(ClaimTable):
        def __init__(self, settings, **rest):
            super().__init__(settings, **rest)
            self.fold = fold(
                clock_skew_s=settings.clock_skew_s,
                answers_limit_bytes=settings.answers_limit_bytes,
            )

    return Broken


@pytest.mark.parametrize(
    ("table", "history"),
    [
        (SendsBeforeReadBack, History),
        (break_fold(FoldAcceptsSecond), History),
        (ReleasesAfterSend, History),
        (break_fold(FoldForgetsEarly), History),
        (break_fold(FoldFreesByAnyHost), History),
        (ForgetsGivenUp, LateSendsHistory),
        (GoneClaimersRunAgain, History),
    ],
    ids=[
        "send-before-read-back",
        "accept-second-claim",
        "release-after-send",
        "forget-before-expiry",
        "release-by-any-host",
        "run-a-claim-given-up",
        "gone-claimer-frees-key",
    ],
)
def test_history_broken(table, history):
    caught = [seed for seed in range(40) if history(seed, table).run().check()]
    print("caught by seeds", caught)
    assert caught


class Bench:
    """One or two tables on one log without faults."""

    def __init__(self, settings=SETTINGS, hosts=("a", "b")):
        self.view = View(list(hosts))
        self.tables = {h: ClaimTable(settings, host=h, leases=self.view) for h in hosts}
        self.now = 10.0
        self.log_up = True
        self.values = {}
        self.appends = []

    def claim(self, host, ticket, key="k", digest="d", wall_time=WALL):
        self.do(
            self.tables[host].claim(
                ticket,
                organisation="o",
                idempotency_key=key,
                body_digest=digest,
                now=self.now,
                wall_time=wall_time,
            )
        )

    def do(self, actions):
        for action in actions:
            if isinstance(action, Append):
                self.appends.append(action.record)
                if self.log_up:
                    self.deliver(action.record)
            elif isinstance(action, Resolve):
                self.values[action.ticket] = action.value

    def deliver(self, record):
        decoded = decode_record(encode_record(record))
        for table in self.tables.values():
            self.do(table.apply_record(0, decoded, now=self.now))

    def wait(self, seconds=0.1):
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            for table in self.tables.values():
                self.do(table.tick(now=self.now))

    def run_first(self, body=b"done"):
        self.claim("a", "first")
        self.wait()
        claim = self.values["first"].claim
        assert self.tables["a"].begin(claim, now=self.now)
        headers = (("Content-Type", "text/plain"), ("Set-Cookie", "x"))
        self.do(
            self.tables["a"].complete(
                claim, status=201, headers=headers, body=body, now=self.now
            )
        )
        self.wait()
        return claim


def get_kind(value):
    assert isinstance(value, RequestRefused)
    return value.kind


def test_claim_repeat_recorded():
    bench = Bench()
    bench.run_first()
    bench.claim("b", "second")
    answer = bench.values["second"]
    assert (answer.status, answer.body) == (201, b"done")
    assert answer.headers == (("Content-Type", "text/plain"),)


def test_claim_repeat_too_large():
    bench = Bench(replace(SETTINGS, answer_limit_bytes=3))
    bench.run_first()
    bench.claim("b", "second")
    assert get_kind(bench.values["second"]) is ErrorKind.OUTCOME_UNKNOWN
    assert bench.values["second"].execution is Execution.RAN


def test_claim_answers_memory_bounded():
    bench = Bench(replace(SETTINGS, answers_limit_bytes=6))
    bench.run_first()
    bench.claim("b", "other", key="k2")
    bench.wait()
    claim = bench.values["other"].claim
    bench.tables["b"].begin(claim, now=bench.now)
    bench.do(
        bench.tables["b"].complete(
            claim, status=200, headers=(), body=b"1234", now=bench.now
        )
    )
    bench.wait()
    bench.claim("a", "again")
    bench.claim("a", "again-2", key="k2")
    assert bench.values["again"].execution is Execution.RAN
    assert bench.values["again-2"].body == b"1234"
    assert bench.tables["a"].fold.bodies_size_bytes <= 6


def test_claim_other_body_conflict():
    bench = Bench()
    bench.run_first()
    bench.claim("b", "second", digest="other")
    assert get_kind(bench.values["second"]) is ErrorKind.IDEMPOTENCY_CONFLICT
    assert bench.values["second"].execution is Execution.NOT_RUN


def test_claim_repeat_while_running():
    bench = Bench()
    bench.claim("a", "first")
    bench.wait()
    bench.claim("b", "second")
    bench.wait(SETTINGS.wait_s + 0.1)
    refusal = bench.values["second"]
    assert get_kind(refusal) is ErrorKind.OUTCOME_UNKNOWN
    assert refusal.retry_after_s and "same Idempotency-Key" in refusal.hint


@pytest.mark.parametrize("is_gone", [True, False], ids=["claimer-gone", "answer-lost"])
def test_claim_repeat_outcome_unknown(is_gone):
    bench = Bench()
    bench.claim("a", "first")
    bench.wait()
    claim = bench.values["first"].claim
    assert bench.tables["a"].begin(claim, now=bench.now)
    if is_gone:
        bench.view.hosts.remove("a")
        del bench.tables["a"]
    else:
        bench.do(
            bench.tables["a"].abandon(claim, is_certain_not_run=False, now=bench.now)
        )
    bench.claim("b", "second")
    bench.wait(0.5)
    assert get_kind(bench.values["second"]) is ErrorKind.OUTCOME_UNKNOWN
    assert bench.values["second"].retry_after_s is None


def test_claim_released_lets_repeat_run():
    bench = Bench()
    bench.claim("a", "first")
    bench.wait()
    bench.claim("b", "second")
    claim = bench.values["first"].claim
    bench.do(bench.tables["a"].abandon(claim, is_certain_not_run=True, now=bench.now))
    bench.wait()
    assert isinstance(bench.values["second"], ClaimWon)
    assert not bench.tables["a"].begin(claim, now=bench.now)


def test_claim_log_outage():
    bench = Bench()
    bench.log_up = False
    bench.claim("a", "first")
    bench.wait(SETTINGS.claim_timeout_s + 0.1)
    bench.claim("a", "second")
    for ticket in ("first", "second"):
        assert get_kind(bench.values[ticket]) is ErrorKind.LOG_UNAVAILABLE
        assert bench.values[ticket].execution is Execution.NOT_RUN
        assert bench.values[ticket].retry_after_s
    bench.log_up = True
    bench.deliver(bench.appends[0])
    bench.wait(1.0)
    assert not any(isinstance(value, ClaimWon) for value in bench.values.values())
    bench.claim("b", "third")
    bench.wait(1.0)
    assert isinstance(bench.values["third"], ClaimWon)


def test_claim_outcomes_survive_outage():
    bench = Bench()
    bench.claim("a", "first")
    bench.wait()
    claim = bench.values["first"].claim
    bench.tables["a"].begin(claim, now=bench.now)
    bench.log_up = False
    bench.do(
        bench.tables["a"].complete(
            claim, status=200, headers=(), body=b"x", now=bench.now
        )
    )
    bench.claim("a", "repeat")
    assert bench.values["repeat"].body == b"x", "the claimer's own host knows"
    bench.wait(2.0)
    assert bench.tables["a"].has_unwritten
    bench.log_up = True
    bench.wait(1.0)
    assert not bench.tables["a"].has_unwritten
    bench.claim("b", "second")
    assert bench.values["second"].body == b"x"


def test_claim_begin_once_and_in_time():
    bench = Bench()
    bench.claim("a", "first")
    bench.claim("a", "other", key="k2")
    bench.wait()
    table = bench.tables["a"]
    claim, late = bench.values["first"].claim, bench.values["other"]
    assert table.begin(claim, now=bench.now)
    assert not table.begin(claim, now=bench.now)
    table.return_unsent(claim)
    assert table.begin(claim, now=bench.now)
    assert not table.begin(late.claim, now=late.send_before)


def test_claim_cancel_passes_on():
    bench = Bench()
    bench.claim("a", "first")
    bench.claim("a", "second")
    bench.do(bench.tables["a"].cancel("first", now=bench.now))
    bench.wait()
    assert isinstance(bench.values["second"], ClaimWon)
    bench.claim("a", "third", key="k3")
    bench.do(bench.tables["a"].cancel("third", now=bench.now))
    bench.wait()
    assert not bench.tables["a"].has_unwritten
    assert "third" not in bench.values


def test_claim_copy_of_lost_claim_released():
    bench = Bench()
    bench.claim("a", "first")
    bench.claim("b", "second")
    bench.wait(0.04)
    copy = next(record for record in bench.appends if record.host == "b")
    claim = bench.values["first"].claim
    bench.do(bench.tables["a"].abandon(claim, is_certain_not_run=True, now=bench.now))
    bench.do(bench.tables["b"].cancel("second", now=bench.now))
    bench.wait()
    bench.deliver(copy)
    bench.wait()
    bench.claim("a", "third")
    bench.wait()
    assert isinstance(bench.values["third"], ClaimWon)


@pytest.mark.parametrize(
    ("key", "settings", "kind"),
    [
        ("", {}, ErrorKind.BAD_REQUEST),
        ("x" * 256, {}, ErrorKind.BAD_REQUEST),
        ("a\nb", {}, ErrorKind.BAD_REQUEST),
        ("k", {"refuses_undated_keys": True}, ErrorKind.BAD_REQUEST),
        ("k", {"pending_limit": 1}, ErrorKind.OVERLOADED),
        ("k", {"claims_limit": 1}, ErrorKind.OVERLOADED),
    ],
    ids=["empty", "long", "unprintable", "undated", "pending", "claims"],
)
def test_claim_refused_at_once(key, settings, kind):
    bench = Bench(replace(SETTINGS, **settings))
    bench.claim("a", "earlier", key=DATED)
    if "claims_limit" in settings:
        bench.wait()
    bench.claim("a", "x", key)
    assert get_kind(bench.values["x"]) is kind
    assert bench.values["x"].execution is Execution.NOT_RUN


@pytest.mark.parametrize("age_s", [0.0, 5.3, 5.4, 9.0])
def test_claim_dated_key(age_s):
    bench = Bench()
    bench.claim("a", "x", DATED, wall_time=WALL + age_s)
    bench.wait()
    if age_s < 5.4:
        assert isinstance(bench.values["x"], ClaimWon)
        return
    assert get_kind(bench.values["x"]) is ErrorKind.OUTCOME_UNKNOWN
    assert bench.values["x"].execution is Execution.OUTCOME_UNKNOWN


def test_claim_full_table_makes_room():
    bench = Bench(replace(SETTINGS, claims_limit=1))
    bench.claim("a", "first")
    bench.wait()
    bench.claim("a", "second", key="k2", wall_time=WALL + 7)
    bench.wait()
    assert isinstance(bench.values["second"], ClaimWon)


def test_claims_share_appends():
    bench = Bench(RequestsSettings(appends_per_s=10))
    for index in range(300):
        bench.claim("a", f"r{index}", key=f"k{index}")
    bench.wait(0.3)
    assert len(bench.values) == 300
    assert len(bench.appends) == 1


@pytest.mark.parametrize(
    "changes",
    [{"log_retention_s": 100.0}, {"repeat_window_s": 10.0}],
    ids=["retention", "send-timeout"],
)
def test_settings_refused(changes):
    with pytest.raises(ValueError, match="must be at least"):
        RequestsSettings(**changes)


@pytest.mark.parametrize(("size", "is_whole"), [(0, True), (9, True), (10, False)])
def test_record_answer_bounded(size, is_whole):
    body = b"x" * size
    answer = record_answer(200, (), body, limit_bytes=9)
    digest = "" if is_whole else hashlib.sha256(body).hexdigest()
    kept = body if is_whole else b""
    assert answer == RecordedAnswer(200, (), kept, digest, is_whole)
