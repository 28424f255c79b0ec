"""Fixtures of the tests that run real processes."""

import pytest

from tests.fleet import Fleet
from thornlatch.timeline import check_history, merge_events, read_events


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet, and check the invariants on its event logs after the test."""
    with Fleet(tmp_path) as fleet:
        yield fleet
        events = merge_events(read_events(fleet.list_event_files()))
        assert check_history(events) == []
