"""What callers are told when a host loses the store in the middle of a request."""

import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import ANSWERS, Execution, RequestRefused
from thornlatch.gateway import CallerRequest
from thornlatch.gateway._forwarder import Forwarder, _Call
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._work import Running
from thornlatch.routing import (
    CallKind,
    Configuration,
    ConfigurationInForce,
    FreshnessSettings,
    Organisation,
    Route,
)

SHOP = Organisation("shop", frozenset({"k"}), None, 0.0, 0.0)
ROUTE = Route("r", "h", "/", CallKind.IDEMPOTENT, (("s", 1.0),), 1.0, 0.1)


def build_forwarder():
    in_force = ConfigurationInForce(FreshnessSettings())
    in_force.install(Configuration(1, (ROUTE,), {}, {"shop": SHOP}))
    unused = dict.fromkeys(
        [
            "wire",
            "registry",
            "peers",
            "quota",
            "retries",
            "versions",
            "residents",
            "orders",
            "work",
            "health",
            "suspects",
            "metrics",
        ]
    )
    return Forwarder(
        ForwardingSettings(), failure_domain="z", in_force=in_force, **unused
    )


def build_call(**more):
    request = CallerRequest(
        "1", "GET", "/", "h", "k", 1.0, "", "", None, None, (), "", (), b""
    )
    now = read_clock()
    running = Running("1", now + 1, lambda: False)
    return _Call(request, ROUTE, SHOP, "s", running, now, 1, "f", **more)


@pytest.mark.parametrize(
    ("may_have_run", "status", "execution"),
    [(False, 503, Execution.NOT_RUN), (True, 502, Execution.OUTCOME_UNKNOWN)],
)
def test_request_that_may_have_run_isn_t_refused_as_not_run(
    may_have_run, status, execution
):
    call = build_call(may_have_run=may_have_run)
    with pytest.raises(RequestRefused) as error:
        build_forwarder()._check_may_send(call)
    assert ANSWERS[error.value.kind].status == status
    assert error.value.execution is execution
