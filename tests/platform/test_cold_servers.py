"""What the platform says of servers that are cold, and what hosts make of it."""

import json
import threading
from types import SimpleNamespace

import msgspec
import pytest

from adapter._entries import (
    ConfigEntry,
    ServerEntry,
    build_configuration,
    build_target,
    decode_entry,
)
from adapter._feeds import ServerFeed
from adapter._node_file import Bounds, _build_cold_settings
from adapter._protocols import PlatformTargetProtocol
from adapter._store import KeyedRecord
from thornlatch.exceptions import InvalidInput
from thornlatch.gateway import COLD_LIMIT_S, ColdTargetSettings, StoreEpochs

ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}
SERVICE = {"name": "llm", "coldStartS": 3.0, "coldPerS": 7.0}


def read_head(value):
    headers = [("Thornlatch-Cold-Remaining-Ms", value)]
    return PlatformTargetProtocol("h").read_head(200, headers)


def decode_service(**changes):
    data = {"version": 1, "routes": [], "services": [SERVICE | changes]}
    entry = decode_entry(json.dumps(data).encode(), ConfigEntry, what="config")
    return build_configuration(entry).services["llm"]


def build_feed(applied):
    gateway = SimpleNamespace(
        stopping=threading.Event(),
        drained=threading.Event(),
        store_epochs=StoreEpochs(),
        apply_target=lambda name, target: applied.append(target),
    )
    return ServerFeed(gateway, None, "keyed.servers")


def test_service_names_how_long_a_server_is_cold_and_what_it_tolerates():
    service = decode_service()
    assert (service.cold_s, service.cold_rate) == (3.0, 7.0)


def test_service_without_the_fields_has_no_cold_servers():
    data = {"version": 1, "routes": [], "services": [{"name": "llm"}]}
    entry = decode_entry(json.dumps(data).encode(), ConfigEntry, what="config")
    service = build_configuration(entry).services["llm"]
    assert (service.cold_s, service.cold_rate) == (0.0, 0.0)


@pytest.mark.parametrize("value", [-1, "7", None, []])
@pytest.mark.parametrize("name", ["coldStartS", "coldPerS"])
def test_configuration_with_an_unusable_figure_leaves_the_last_one_in_force(
    name, value
):
    with pytest.raises(InvalidInput, match=name):
        decode_service(**{name: value})


@pytest.mark.parametrize(
    ("milliseconds", "cold_s"), [(0, 0.0), (1500, 1.5), (-5, 0.0), (2.5, 0.0025)]
)
def test_registration_tells_for_how_long_a_server_stays_cold(milliseconds, cold_s):
    data = ENTRY | {"coldRemainingMs": milliseconds}
    entry = decode_entry(json.dumps(data).encode(), ServerEntry, what="server")
    assert build_target("i-1", entry).cold_s == cold_s


@pytest.mark.parametrize("milliseconds", [-1, -1e300, COLD_LIMIT_S * 1000 + 1])
def test_time_out_of_range_is_logged_and_the_server_used(caplog, milliseconds):
    applied = []
    feed = build_feed(applied)
    record = KeyedRecord(
        "i-1", msgspec.json.encode(ENTRY | {"coldRemainingMs": milliseconds})
    )
    feed.apply_record(record, 0.0)
    assert [target.id for target in applied] == ["i-1"]
    assert feed.invalid_keys == {"i-1"}


@pytest.mark.parametrize(
    ("text", "cold_s"), [("0", 0.0), ("2500", 2.5), ("12.5", 0.0125)]
)
def test_header_tells_for_how_long_a_server_stays_cold(text, cold_s):
    assert read_head(text).notice.cold_s == cold_s


@pytest.mark.parametrize("text", ["", "-1", "soon", "1e3", "1, 2", "٣"])
def test_header_that_is_no_number_is_reported_and_ignored(text):
    notice = read_head(text).notice
    assert notice.cold_s == 0.0
    (header,) = notice.unreadable
    assert (header.name, header.value) == ("Thornlatch-Cold-Remaining-Ms", text)


def test_header_of_any_length_stays_finite():
    assert read_head("9" * 400).notice.cold_s == 1000.0


def test_header_is_not_passed_to_callers():
    assert read_head("5").headers == ()


def build_bounds(**changes):
    required = {
        "drainTimeoutMs": 3000,
        "gracePeriodS": 8,
        "revokeTimeoutMs": 5000,
        "retryBudgetRatio": 0.2,
        "retryWindowS": 10,
        "budgetSlack": 50,
        "fencingEnabled": True,
        "leaseMs": 3000,
    }
    return msgspec.convert(required | changes, type=Bounds)


def test_settings_name_the_bound():
    settings = _build_cold_settings(build_bounds(coldOverage=2.0, coldTolerance=3))
    assert (settings.tolerated_ratio, settings.tolerated_requests) == (2.0, 3)


def test_settings_without_a_bound_keep_the_defaults():
    assert _build_cold_settings(build_bounds()) == ColdTargetSettings()
