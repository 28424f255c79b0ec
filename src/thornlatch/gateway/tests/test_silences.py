"""Silent targets: which requests leave them, and which stay."""

from dataclasses import replace
from random import Random

import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.fleet import Target
from thornlatch.gateway._choice import Step, TargetOption
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._silences import (
    BUSY_WAIT_S,
    LOAD_REQUEST_PERIOD_S,
    RECHECK_MAX_S,
    RECHECK_MIN_S,
    SilencePolicy,
)
from thornlatch.gateway._work import WorkTable
from thornlatch.gateway.tests.test_forwarder import ROUTE, build_call, build_suspects

OTHER = TargetOption(Target("other", "s", "1.2.3.4:5", "z", 8), Step.SEND, 0.0, 0.0)


class Parts:
    """Stands in for admission, selector and retry budget."""

    def __init__(self):
        self.has_budget = self.has_quota = True
        self.charged_runs = 0
        self.key_error = None
        self.free = [OTHER]
        self.loads = []

    def authenticate(self, request, *, now):
        if self.key_error is not None:
            raise self.key_error

    def check_parts(self, call):
        pass

    def list_startable(self, call, besides, *, within_s, now):
        return [option for option in self.free if option.wait_s <= within_s]

    def request_load_elsewhere(self, call, target, *, now):
        self.loads.append(target)

    def try_charge_run(self, call, *, now):
        self.charged_runs += self.has_quota
        return self.has_quota

    def give_back_run(self, call, *, now):
        self.charged_runs -= 1

    def try_acquire(self, service, *, now):
        return self.has_budget


class Bed:
    """A policy, and a stream that is silent at its target."""

    def __init__(self):
        self.parts = Parts()
        self.work = WorkTable()
        self.health = TargetHealth(ForwardingSettings())
        self.policy = SilencePolicy(
            admission=self.parts,
            selector=self.parts,
            retries=self.parts,
            work=self.work,
            health=self.health,
            suspects=build_suspects(),
            metrics=GatewayMetrics(),
            random=Random(1),
        )
        self.call = build_call()
        self.call.route = replace(ROUTE, max_attempts=2)
        self.use = self.begin("silent", silent_s=2.0)

    def begin(self, target, *, silent_s):
        now = read_clock()
        use = self.work.begin(target, "", now=now - silent_s)
        use.progressed_at = now - silent_s
        return use

    def get_patience_s(self):
        return self.policy.get_patience_s(self.call, self.use)


def test_request_leaves_for_a_free_target_whose_streams_go_on():
    bed = Bed()
    bed.begin("other", silent_s=0.1)
    assert bed.get_patience_s() == 0
    assert bed.call.next_option is OTHER


# Moving on when all targets slow down at once would only add work to them.
def test_request_stays_while_the_streams_of_other_targets_are_silent_too():
    bed = Bed()
    bed.begin("other", silent_s=1.5)
    assert RECHECK_MIN_S <= bed.get_patience_s() <= RECHECK_MAX_S
    assert bed.call.next_option is None
    assert not bed.call.is_next_run_charged
    assert bed.parts.charged_runs == 0


def forbid_repeats(bed):
    bed.call.route = replace(ROUTE, max_attempts=1)


def exhaust_budget(bed):
    bed.parts.has_budget = False


def exhaust_quota(bed):
    bed.parts.has_quota = False


def occupy_targets(bed):
    bed.parts.free = []


def outdate_configuration(bed):
    bed.parts.key_error = RequestRefused(ErrorKind.HOST_UNCONFIRMED, "too old")


def use_up_time(bed):
    bed.call.running.ends_at = read_clock() + 0.05


def stop_request(bed):
    bed.call.running.stop(ErrorKind.DEADLINE_UNREACHABLE)


@pytest.mark.parametrize(
    "change",
    [
        forbid_repeats,
        exhaust_budget,
        exhaust_quota,
        occupy_targets,
        outdate_configuration,
        use_up_time,
        stop_request,
    ],
)
def test_request_stays_if_it_could_not_be_sent_again(change):
    bed = Bed()
    change(bed)
    assert RECHECK_MIN_S <= bed.get_patience_s() <= RECHECK_MAX_S
    assert bed.call.next_option is None


# A preempted stream of a target says little about the others.
def test_request_leaves_for_a_target_of_which_one_stream_is_silent():
    bed = Bed()
    for _ in range(9):
        bed.begin("other", silent_s=0.05)
    bed.begin("other", silent_s=1.5)
    assert bed.get_patience_s() == 0


def test_request_of_a_wholly_silent_target_leaves_for_a_busy_one():
    bed = Bed()
    bed.parts.free = [replace(OTHER, wait_s=BUSY_WAIT_S)]
    flowing = bed.begin("silent", silent_s=0.1)
    assert bed.get_patience_s() > 0
    flowing.progressed_at -= 2.0
    assert bed.get_patience_s() == 0


def test_adapter_is_loaded_elsewhere_while_its_whole_target_is_silent():
    bed = Bed()
    occupy_targets(bed)
    flowing = bed.begin("silent", silent_s=0.1)
    bed.get_patience_s()
    assert bed.parts.loads == []
    flowing.progressed_at -= 2.0
    bed.get_patience_s()
    bed.get_patience_s()
    assert bed.parts.loads == ["silent"]
    bed.call.load_requested_at -= LOAD_REQUEST_PERIOD_S
    bed.get_patience_s()
    assert bed.parts.loads == ["silent"] * 2


# The holder of another target drops a load for which the silent one seems of use.
def test_silent_target_is_avoided_before_a_load_is_requested_elsewhere():
    bed = Bed()
    occupy_targets(bed)
    avoided = []
    bed.parts.request_load_elsewhere = lambda call, target, *, now: avoided.append(
        bed.health.is_avoided(target, now=now)
    )
    bed.get_patience_s()
    assert avoided == [True]


def test_target_is_avoided_for_as_long_as_its_stream_is_silent():
    bed = Bed()
    occupy_targets(bed)
    for _ in range(3):
        bed.get_patience_s()
        record = bed.health.observations["silent"]
        assert record.avoid_until > read_clock()
        record.avoid_until = read_clock() - 0.01
