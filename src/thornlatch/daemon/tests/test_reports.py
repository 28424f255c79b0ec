"""Malformed reports and stream events of targets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.daemon._orders import AGE_LIMIT_S, parse_report
from thornlatch.exceptions import TargetError
from thornlatch.targets._engine import _parse_chunk

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
FIELDS = st.sampled_from(["loaded", "running", "waiting", "age_s", "incarnation"])
NOW = 10_000.0


@pytest.mark.parametrize(
    "age_s", [None, "2", -1.0, float("nan"), float("inf"), 10**400]
)
def test_report_with_invalid_age_counts_as_old(age_s):
    report = parse_report({"age_s": age_s}, NOW)
    assert report.snapshot_at == NOW - AGE_LIMIT_S


@pytest.mark.parametrize(
    "value", [{"running": -1}, {"waiting": 1.5}, {"loaded": "a@1"}, {"loaded": [1]}]
)
def test_report_malformed(value):
    with pytest.raises(TargetError, match="malformed report"):
        parse_report(value, NOW)


@given(st.dictionaries(FIELDS, SCALARS | st.lists(SCALARS, max_size=3)))
def test_report_of_any_values(value):
    try:
        report = parse_report(value, NOW)
    except TargetError:
        return
    assert report.snapshot_at <= NOW
    assert report.running >= 0


@given(st.binary(max_size=200))
def test_event_of_any_bytes(payload):
    try:
        _parse_chunk(payload)
    except TargetError:
        return
