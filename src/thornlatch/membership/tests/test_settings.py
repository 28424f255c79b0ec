import pytest

from thornlatch.exceptions import SettingsError
from thornlatch.membership import MembershipSettings
from thornlatch.settings._load import parse_table


@pytest.mark.parametrize(
    ("table", "parts"),
    [
        ({"heartbeat_s": 1.0}, ["membership.heartbeat_s", "1.0", "third of safe_s"]),
        ({"suspect_s": 0.5}, ["membership.suspect_s", "0.5", "twice heartbeat_s"]),
        ({"outage_limit_s": 1.0}, ["membership.outage_limit_s", "at least safe_s"]),
        ({"safe_s": -1.0}, ["safe_s", "-1.0"]),
        ({"voter_limit": 0}, ["voter_limit", "0"]),
        ({"voters": 3}, ["voters", "unknown key"]),
    ],
    ids=["heartbeat", "suspect", "outage", "range", "voters", "unknown"],
)
def test_invalid_settings_are_refused(table, parts):
    with pytest.raises(SettingsError) as caught:
        parse_table(table, MembershipSettings, source="s.toml")
    for part in parts:
        assert part in caught.value.format()


def test_waits_of_default_settings():
    settings = parse_table({}, MembershipSettings, source="s.toml")
    assert settings.fast_wait_s == pytest.approx((2.0 + 3.0) * 1.05)
    assert settings.slow_wait_s == pytest.approx((4000.0 + 3.0) * 1.05)
