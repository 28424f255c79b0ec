"""Bounds in time of the adapter's reads."""

from adapter._feeds import OPERATOR_WAIT_S, SERVER_PERIOD_S
from thornlatch.gateway import GatewaySettings, HostAddresses

SETTINGS = GatewaySettings(HostAddresses("", "", "", "", "")).share
NEWS_S = 2.0  # in which a leaving server and a configuration must be known everywhere
READ_S = 0.2  # of the store, fifty times its usual answer


def test_reader_that_loses_the_store_delays_no_news_beyond_the_bound():
    """Seen on mandacaru-bolsas-grown: 3.06 s after a server had said that it leaves."""
    pause_s = max(SETTINGS.period_s, SERVER_PERIOD_S)
    worst_s = SETTINGS.age_limit_s + pause_s + SETTINGS.answer_s + READ_S
    assert worst_s < NEWS_S


def test_reader_s_own_reads_are_young_enough_for_the_others():
    for period_s in (OPERATOR_WAIT_S, SERVER_PERIOD_S):
        assert period_s + READ_S < SETTINGS.age_limit_s
