"""A log service or host list whose answers never end."""

import pytest

from thornlatch.core.tests.endless import BODIES, HEADS, SPEEDS, EndlessTarget
from thornlatch.logservice import (
    HostListClient,
    LogClient,
    PlatformError,
    PlatformSettings,
    _clients,
    _host_list,
)

TIMEOUT_S = 0.3
CALLS = {
    "log": lambda settings: LogClient(settings).read("s", 0, limit=1, wait_s=0.0),
    "host_list": lambda settings: HostListClient(settings).read(),
}


@pytest.mark.timeout(30)
@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("case", [*HEADS, *BODIES])
@pytest.mark.parametrize("service", CALLS)
def test_answer_without_end_is_given_up(service, case, speed, monkeypatch):
    """Its thread would stand still, and with it what a host knows of the log."""
    for module in (_clients, _host_list):
        monkeypatch.setattr(module, "BODY_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(_clients, "RESPONSE_LIMIT_BYTES", 1 << 16)
    monkeypatch.setattr(_host_list, "LIST_LIMIT_BYTES", 1 << 16)
    start, part = {**HEADS, **BODIES}[case]
    count, pause_s = SPEEDS[speed]
    endless = EndlessTarget(start, part * count, pause_s)
    settings = PlatformSettings(
        log=endless.address, host_list=endless.address, timeout_s=TIMEOUT_S
    )
    with pytest.raises(PlatformError):
        CALLS[service](settings)
    assert endless.was_closed.wait(10)
    endless.close()
