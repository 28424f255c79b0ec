"""Answers of the log service and the host list that are cut off at any byte."""

import pytest

from thornlatch.core.tests.cut_answers import CASES, check_cuts
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


@pytest.mark.timeout(60)
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(("framing", "interim"), CASES)
def test_cut_answer_is_never_taken_for_whole(call, framing, interim):
    """A host would act on a page of the log or a list of hosts that isn't whole."""
    send, body = CALLS[call]

    def is_whole(address):
        settings = PlatformSettings(log=address, host_list=address, timeout_s=5.0)
        try:
            send(settings)
        except PlatformError:
            return False
        return True

    check_cuts(is_whole, body, framing=framing, interim=interim)
