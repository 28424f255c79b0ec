"""Answers of the log service and the host list: cut off at any byte, or malformed."""

from functools import partial

import pytest

from thornlatch.core.tests.cut_answers import CASES, check_cuts
from thornlatch.core.tests.malformed_heads import FAULTS, check_heads
from thornlatch.logservice import (
    HostListClient,
    LogClient,
    PlatformError,
    PlatformSettings,
)

CALLS = {
    "read": (
        lambda settings: LogClient(settings).read("s", 0, limit=1, wait_s=0.0),
        b'{"records": [], "next_offset": 0, "first_offset": 0}',
    ),
    "append": (
        lambda settings: LogClient(settings).append("s", []),
        b'{"first_offset": 0}',
    ),
    "host list": (
        lambda settings: HostListClient(settings).read(),
        b'{"hosts": [], "targets": []}',
    ),
}


def is_answer(address, call):
    send, _ = CALLS[call]
    settings = PlatformSettings(log=address, host_list=address, timeout_s=5.0)
    try:
        send(settings)
    except PlatformError as error:
        assert error.status is None
        return False
    return True


@pytest.mark.timeout(60)
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_answer_is_never_taken_for_whole(call, framing, interim):
    """A host would act on a page of the log or a list of hosts that isn't whole."""
    _, body = CALLS[call]
    read = partial(is_answer, call=call)
    check_cuts(read, body, framing=framing, interim=interim)


# Guards against: what such an answer says was believed (issue 55).
@pytest.mark.timeout(60)
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("fault", FAULTS)
def test_answer_with_a_malformed_head_is_none(call, fault):
    _, body = CALLS[call]
    check_heads(partial(is_answer, call=call), body, FAULTS[fault])
