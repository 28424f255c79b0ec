"""Answers that are cut off at any byte are never taken for whole by any reader."""

import pytest

from thornlatch.core.tests.cut_answers import CASES, check_cuts
from thornlatch.exceptions import TargetError
from thornlatch.targets import (
    TargetCall,
    load_adapter,
    open_call,
    read_report,
)

TIMEOUT_S = 5.0


def read_all(address):
    return open_call(TargetCall(address, "GET", "/")).read_all(1 << 16)


def read_some(address):
    response = open_call(TargetCall(address, "GET", "/"))
    return b"".join(iter(response.read_some, b""))


def read_engine_report(address):
    return read_report(address, timeout_s=TIMEOUT_S)


def order(address):
    load_adapter(address, "a@1", epoch=1, store="s", timeout_s=TIMEOUT_S)
    return True


def is_whole(read, address):
    try:
        assert read(address)
    except TargetError as error:
        assert error.is_sent
        return False
    return True


@pytest.mark.timeout(60)
@pytest.mark.parametrize("read", [read_all, read_some, read_engine_report, order])
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_answer_is_never_taken_for_whole(read, framing, interim):
    """Callers got an empty answer for one whose head was cut off."""
    check_cuts(
        lambda address: is_whole(read, address),
        b'{"running": 1}',
        framing=framing,
        interim=interim,
    )
