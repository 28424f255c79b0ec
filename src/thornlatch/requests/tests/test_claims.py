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
DATED = "018bcfe5-6800-7000-8000-000000000000"  # Contains WALL.


@pytest.mark.parametrize("seed", range(60))
def test_history_kept(seed):
    history = History(seed).run()
    assert history.check() == []
    assert history.find_unresolved() == []


@pytest.mark.parametrize("seed", range(5))
def test_history_past_window(seed):
    history = History(seed, duration_s=20.0, keys=20).run()
    assert history.check() == []
    keys = [run.key for run in history.runs]
    assert len(keys) > len(set(keys)), "keys may run again after the window"


@pytest.mark.parametrize("skew", [-60.0, 60.0], ids=["behind", "ahead"])
@pytest.mark.parametrize("seed", range(6))
def test_history_one_wrong_clock(seed, skew):
    history = History(seed, duration_s=12.0, keys=12, skew=skew).run()
    assert history.check() == []


class FoldTrustsAnyClock(ClaimFold):
    @property
    def clock(self):
        return self.host_times[0][0] if self.host_times else float("-inf")


def test_history_broken_trusting_any_clock():
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


class FoldAcceptsSecondClaim(ClaimFold):
    def _claim(self, item, host):
        key = (item.organisation, item.key)
        self.entries[key] = ClaimEntry(
            item.claim, host, item.body_digest, item.expires_at
        )
        self.keys_by_claim[item.claim] = key


class FoldExpiresEarly(ClaimFold):
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


class ForgetsWithdrawn(ClaimTable):
    def _withdraw(self, claim, *, now):
        own = self.own_claims[claim]
        self.pending_claims.pop((own.record.organisation, own.record.key))
        self.withdrawn = getattr(self, "withdrawn", {})
        waiters = self.waiters.get((own.record.organisation, own.record.key))
        self.withdrawn[claim] = waiters[0].ticket if waiters else None
        return []

    def _decide(self, record, *, now):
        ticket = getattr(self, "withdrawn", {}).pop(record.claim, None)
        if ticket and self.fold.find(record.claim):
            self.own_claims[record.claim].state = self.own_claims[
                record.claim
            ].state.WON
            self.late = [*getattr(self, "late", []), (record.claim, ticket)]
            return []
        return super()._decide(record, now=now)


class LateSendsHistory(History):
    """Sends the calls whose claims `ForgetsWithdrawn` counts as won."""

    def step(self):
        super().step()
        for state in self.host_states.values():
            for claim, ticket in getattr(state.table, "late", []):
                state.won[claim] = (ticket, self.now)
            state.table.late = []


class DepartedClaimersRunAgain(ClaimTable):
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
        (break_fold(FoldAcceptsSecondClaim), History),
        (ReleasesAfterSend, History),
        (break_fold(FoldExpiresEarly), History),
        (break_fold(FoldFreesByAnyHost), History),
        (ForgetsWithdrawn, LateSendsHistory),
        (DepartedClaimersRunAgain, History),
    ],
    ids=[
        "send-before-read-back",
        "accept-second-claim",
        "release-after-send",
        "forget-before-expiry",
        "release-by-any-host",
        "run-withdrawn-claim",
        "departed-claimer-frees-key",
    ],
)
def test_history_broken(table, history):
    caught = [seed for seed in range(40) if history(seed, table).run().check()]
    print("caught by seeds", caught)
    assert caught


class Harness:
    """Claim tables on one log without faults."""

    def __init__(self, settings=SETTINGS, hosts=("a", "b")):
        self.members = View(list(hosts))
        self.tables = {
            name: ClaimTable(settings, host=name, leases=self.members) for name in hosts
        }
        self.now = 10.0
        self.is_log_available = True
        self.values = {}
        self.appends = []

    def claim(self, host, ticket, key="k", digest="d", wall_time=WALL):
        self.execute(
            self.tables[host].claim(
                ticket,
                organisation="o",
                idempotency_key=key,
                body_digest=digest,
                now=self.now,
                wall_time=wall_time,
            )
        )

    def execute(self, actions):
        for action in actions:
            if isinstance(action, Append):
                self.appends.append(action.record)
                if self.is_log_available:
                    self.deliver(action.record)
            elif isinstance(action, Resolve):
                self.values[action.ticket] = action.value

    def deliver(self, record):
        decoded = decode_record(encode_record(record))
        for table in self.tables.values():
            self.execute(table.apply_record(0, decoded, now=self.now))

    def wait(self, seconds=0.1):
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            for table in self.tables.values():
                self.execute(table.tick(now=self.now))

    def run_first(self, body=b"done"):
        self.claim("a", "first")
        self.wait()
        claim = self.values["first"].claim
        assert self.tables["a"].begin(claim, now=self.now)
        headers = (("Content-Type", "text/plain"), ("Set-Cookie", "x"))
        self.execute(
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
    harness = Harness()
    harness.run_first()
    harness.claim("b", "second")
    answer = harness.values["second"]
    assert (answer.status, answer.body) == (201, b"done")
    assert answer.headers == (("Content-Type", "text/plain"),)


def test_claim_repeat_too_large():
    harness = Harness(replace(SETTINGS, answer_limit_bytes=3))
    harness.run_first()
    harness.claim("b", "second")
    assert get_kind(harness.values["second"]) is ErrorKind.OUTCOME_UNKNOWN
    assert harness.values["second"].execution is Execution.RAN


def test_claim_answers_memory_bounded():
    harness = Harness(replace(SETTINGS, answers_limit_bytes=6))
    harness.run_first()
    harness.claim("b", "other", key="k2")
    harness.wait()
    claim = harness.values["other"].claim
    harness.tables["b"].begin(claim, now=harness.now)
    harness.execute(
        harness.tables["b"].complete(
            claim, status=200, headers=(), body=b"1234", now=harness.now
        )
    )
    harness.wait()
    harness.claim("a", "again")
    harness.claim("a", "again-2", key="k2")
    assert harness.values["again"].execution is Execution.RAN
    assert harness.values["again-2"].body == b"1234"
    assert harness.tables["a"].fold.bodies_size_bytes <= 6


def test_claim_other_body_conflict():
    harness = Harness()
    harness.run_first()
    harness.claim("b", "second", digest="other")
    assert get_kind(harness.values["second"]) is ErrorKind.IDEMPOTENCY_CONFLICT
    assert harness.values["second"].execution is Execution.NOT_RUN


def test_claim_repeat_while_running():
    harness = Harness()
    harness.claim("a", "first")
    harness.wait()
    harness.claim("b", "second")
    harness.wait(SETTINGS.wait_s + 0.1)
    refusal = harness.values["second"]
    assert get_kind(refusal) is ErrorKind.OUTCOME_UNKNOWN
    assert refusal.retry_after_s and "same Idempotency-Key" in refusal.hint


@pytest.mark.parametrize(
    "is_departed", [True, False], ids=["claimer-departed", "answer-lost"]
)
def test_claim_repeat_outcome_unknown(is_departed):
    harness = Harness()
    harness.claim("a", "first")
    harness.wait()
    claim = harness.values["first"].claim
    assert harness.tables["a"].begin(claim, now=harness.now)
    if is_departed:
        harness.members.hosts.remove("a")
        del harness.tables["a"]
    else:
        harness.execute(
            harness.tables["a"].abandon(
                claim, is_certain_not_run=False, now=harness.now
            )
        )
    harness.claim("b", "second")
    harness.wait(0.5)
    assert get_kind(harness.values["second"]) is ErrorKind.OUTCOME_UNKNOWN
    assert harness.values["second"].retry_after_s is None


def test_claim_released_lets_repeat_run():
    harness = Harness()
    harness.claim("a", "first")
    harness.wait()
    harness.claim("b", "second")
    claim = harness.values["first"].claim
    harness.execute(
        harness.tables["a"].abandon(claim, is_certain_not_run=True, now=harness.now)
    )
    harness.wait()
    assert isinstance(harness.values["second"], ClaimWon)
    assert not harness.tables["a"].begin(claim, now=harness.now)


def test_claim_log_outage():
    harness = Harness()
    harness.is_log_available = False
    harness.claim("a", "first")
    harness.wait(SETTINGS.claim_timeout_s + 0.1)
    harness.claim("a", "second")
    for ticket in ("first", "second"):
        assert get_kind(harness.values[ticket]) is ErrorKind.LOG_UNAVAILABLE
        assert harness.values[ticket].execution is Execution.NOT_RUN
        assert harness.values[ticket].retry_after_s
    harness.is_log_available = True
    harness.deliver(harness.appends[0])
    harness.wait(1.0)
    assert not any(isinstance(value, ClaimWon) for value in harness.values.values())
    harness.claim("b", "third")
    harness.wait(1.0)
    assert isinstance(harness.values["third"], ClaimWon)


def test_claim_outcomes_survive_outage():
    harness = Harness()
    harness.claim("a", "first")
    harness.wait()
    claim = harness.values["first"].claim
    harness.tables["a"].begin(claim, now=harness.now)
    harness.is_log_available = False
    harness.execute(
        harness.tables["a"].complete(
            claim, status=200, headers=(), body=b"x", now=harness.now
        )
    )
    harness.claim("a", "repeat")
    assert harness.values["repeat"].body == b"x", "known before the log has it"
    harness.wait(2.0)
    assert harness.tables["a"].has_unwritten
    harness.is_log_available = True
    harness.wait(1.0)
    assert not harness.tables["a"].has_unwritten
    harness.claim("b", "second")
    assert harness.values["second"].body == b"x"


def test_claim_begin_once_and_in_time():
    harness = Harness()
    harness.claim("a", "first")
    harness.claim("a", "other", key="k2")
    harness.wait()
    table = harness.tables["a"]
    claim, late = harness.values["first"].claim, harness.values["other"]
    assert table.begin(claim, now=harness.now)
    assert not table.begin(claim, now=harness.now)
    table.return_unsent(claim)
    assert table.begin(claim, now=harness.now)
    assert not table.begin(late.claim, now=late.send_before)


def test_claim_cancelled_next_waiter_wins():
    harness = Harness()
    harness.claim("a", "first")
    harness.claim("a", "second")
    harness.execute(harness.tables["a"].cancel("first", now=harness.now))
    harness.wait()
    assert isinstance(harness.values["second"], ClaimWon)
    harness.claim("a", "third", key="k3")
    harness.execute(harness.tables["a"].cancel("third", now=harness.now))
    harness.wait()
    assert not harness.tables["a"].has_unwritten
    assert "third" not in harness.values


def test_claim_duplicate_of_lost_claim_released():
    harness = Harness()
    harness.claim("a", "first")
    harness.claim("b", "second")
    harness.wait(0.04)
    duplicate = next(record for record in harness.appends if record.host == "b")
    claim = harness.values["first"].claim
    harness.execute(
        harness.tables["a"].abandon(claim, is_certain_not_run=True, now=harness.now)
    )
    harness.execute(harness.tables["b"].cancel("second", now=harness.now))
    harness.wait()
    harness.deliver(duplicate)
    harness.wait()
    harness.claim("a", "third")
    harness.wait()
    assert isinstance(harness.values["third"], ClaimWon)


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
    harness = Harness(replace(SETTINGS, **settings))
    harness.claim("a", "earlier", key=DATED)
    if "claims_limit" in settings:
        harness.wait()
    harness.claim("a", "x", key)
    assert get_kind(harness.values["x"]) is kind
    assert harness.values["x"].execution is Execution.NOT_RUN


@pytest.mark.parametrize("age_s", [0.0, 5.3, 5.4, 9.0])
def test_claim_dated_key(age_s):
    harness = Harness()
    harness.claim("a", "x", DATED, wall_time=WALL + age_s)
    harness.wait()
    if age_s < 5.4:
        assert isinstance(harness.values["x"], ClaimWon)
        return
    assert get_kind(harness.values["x"]) is ErrorKind.OUTCOME_UNKNOWN
    assert harness.values["x"].execution is Execution.OUTCOME_UNKNOWN


def test_claim_full_table_makes_room():
    harness = Harness(replace(SETTINGS, claims_limit=1))
    harness.claim("a", "first")
    harness.wait()
    harness.claim("a", "second", key="k2", wall_time=WALL + 7)
    harness.wait()
    assert isinstance(harness.values["second"], ClaimWon)


def test_claims_share_appends():
    harness = Harness(RequestsSettings(appends_per_s=10))
    for index in range(300):
        harness.claim("a", f"r{index}", key=f"k{index}")
    harness.wait(0.3)
    assert len(harness.values) == 300
    assert len(harness.appends) == 1


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
