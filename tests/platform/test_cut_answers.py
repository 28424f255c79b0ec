"""Answers of the platform's store and servers: cut off at any byte, or malformed."""

from functools import partial

import pytest

from adapter import _protocols
from adapter._protocols import PlatformTargetProtocol
from adapter._store import KeyedRecord, StoreClient, StoreError, StoreOffset
from thornlatch.core.tests.cut_answers import CASES, check_cuts
from thornlatch.core.tests.malformed_heads import FAULTS, check_heads
from thornlatch.exceptions import TargetError
from thornlatch.fleet import UNKNOWN_EPOCH, StoreContact
from thornlatch.gateway import GatewayMetrics, StoreEpochs
from thornlatch.residency import LoadModel, NumberedOrder, OrderOutcome

PAGE = b'{"items": [], "hasMore": false, "endOffset": 3}'
REPORT = b'{"loadedModels": [], "sequence": 2, "busy": false}'
START = StoreOffset(UNKNOWN_EPOCH, 0)
STORE_CALLS = {
    "latest": (lambda client: client.read_latest("keyed.t"), PAGE),
    "read": (lambda client: client.read("keyed.t", START, wait_s=0.0), bytes(16)),
    "append": (lambda client: client.append("t", KeyedRecord("a", b"1")), b"{}"),
    "append, no body": (lambda client: client.append("t", KeyedRecord("a", b"")), b""),
    "owners": (lambda client: client.read_owners("g"), b'{"parts": []}'),
}


@pytest.fixture(autouse=True)
def patient_calls(monkeypatch):
    for name in ("ORDER_TIMEOUT_S", "REPORT_TIMEOUT_S", "CONNECT_TIMEOUT_S"):
        monkeypatch.setattr(_protocols, name, 5.0)


def is_store_answer(address, call):
    send, _ = STORE_CALLS[call]
    client = StoreClient(address, GatewayMetrics(), StoreEpochs(), StoreContact())
    try:
        send(client)
    except StoreError as error:
        assert error.status is None
        assert client.connection is None
        return False
    return True


def is_order_accepted(address):
    protocol = PlatformTargetProtocol("edge-1")
    order = NumberedOrder(LoadModel("m"), 1)
    reply = protocol.send_order(address, "t1", order, 1)
    assert reply.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.ACCEPTED)
    return reply.outcome is OrderOutcome.ACCEPTED


def is_report(address):
    try:
        PlatformTargetProtocol("edge-1").read_report(address, "t1")
    except TargetError as error:
        assert error.status is None
        return False
    return True


@pytest.mark.timeout(60)
@pytest.mark.parametrize("call", STORE_CALLS)
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_answer_of_the_store_is_never_taken_for_whole(call, framing, interim):
    """A host would take a write for done, or an empty page for all there is."""
    _, body = STORE_CALLS[call]
    read = partial(is_store_answer, call=call)
    check_cuts(read, body, framing=framing, interim=interim)


@pytest.mark.timeout(60)
@pytest.mark.parametrize("body", [b"", b'{"sequence": 1}'], ids=["no body", "body"])
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_answer_to_an_order_leaves_its_outcome_unknown(body, framing, interim):
    """A host would take an order for accepted or refused that may be either."""
    form = {"framing": framing, "interim": interim, "status": b"202 Accepted"}
    check_cuts(is_order_accepted, body, **form)


@pytest.mark.timeout(60)
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_report_is_never_taken_for_whole(framing, interim):
    check_cuts(is_report, REPORT, framing=framing, interim=interim)


# Guard against: what such an answer says was believed (issue 55).
@pytest.mark.timeout(60)
@pytest.mark.parametrize("call", STORE_CALLS)
@pytest.mark.parametrize("fault", FAULTS)
def test_answer_of_the_store_with_a_malformed_head_is_none(call, fault):
    _, body = STORE_CALLS[call]
    check_heads(partial(is_store_answer, call=call), body, FAULTS[fault])


@pytest.mark.timeout(60)
@pytest.mark.parametrize("fault", FAULTS)
def test_order_whose_answer_has_a_malformed_head_has_an_unknown_outcome(fault):
    form = {"status": b"202 Accepted"}
    check_heads(is_order_accepted, b'{"sequence": 1}', FAULTS[fault], **form)


@pytest.mark.timeout(60)
@pytest.mark.parametrize("fault", FAULTS)
def test_report_with_a_malformed_head_is_none(fault):
    check_heads(is_report, REPORT, FAULTS[fault])
