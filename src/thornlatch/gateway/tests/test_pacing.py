"""Long prompts in a row, on engines that delay their streams more or less by them."""

import pytest

from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._settings import ForwardingSettings

SETTINGS = ForwardingSettings()
ALLOWED_S = 0.4
FIRST_S = SETTINGS.prefill_limit_gaps * ALLOWED_S
MAX_S = SETTINGS.prefill_limit_max_gaps * ALLOWED_S


def run_streams(pacing, gap_s, count, *, start=0.0, is_binding=True):
    """End a number of streams whose longest pause is a function of the limit."""
    late = 0
    for number in range(count):
        now = start + 0.1 * number
        limit_s = pacing.get_limit_s("llm", ALLOWED_S)
        pause_s = gap_s(limit_s, number)
        late += pause_s > ALLOWED_S
        if is_binding:
            pacing.note_wait("llm", now=now)
        pacing.note_stream("llm", pause_s, ALLOWED_S, now=now)
    return late


def test_engine_that_keeps_pauses_short_soon_gets_prompts_at_once():
    pacing = PromptPacing(SETTINGS)
    run_streams(pacing, lambda limit_s, _: 0.22, 10)
    assert pacing.get_limit_s("llm", ALLOWED_S) > 0.3
    run_streams(pacing, lambda limit_s, _: 0.22, 1000)
    assert pacing.get_limit_s("llm", ALLOWED_S) == MAX_S


def test_engine_whose_streams_pause_longer_with_more_prompts_is_held_near_the_bound():
    def compute_gap_s(limit_s, number):
        return 0.1 + limit_s * (0.5 + number % 10 / 10)

    pacing = PromptPacing(SETTINGS)
    run_streams(pacing, compute_gap_s, 100)
    late = run_streams(pacing, compute_gap_s, 1000, start=10.0)
    assert 0 < late < 100
    assert 0.15 < pacing.get_limit_s("llm", ALLOWED_S) < 0.45


def test_streams_that_pause_too_long_anyway_leave_the_first_limit():
    pacing = PromptPacing(SETTINGS)
    run_streams(pacing, lambda limit_s, _: 0.5, 100)
    assert pacing.get_limit_s("llm", ALLOWED_S) == FIRST_S


def test_quiet_hours_do_not_raise_a_limit_that_holds_nothing_back():
    pacing = PromptPacing(SETTINGS)
    run_streams(pacing, lambda limit_s, _: 0.01, 1000, is_binding=False)
    assert pacing.get_limit_s("llm", ALLOWED_S) == FIRST_S


def test_services_have_limits_of_their_own():
    pacing = PromptPacing(SETTINGS)
    run_streams(pacing, lambda limit_s, _: 0.22, 10)
    assert pacing.get_limit_s("other", ALLOWED_S) == pytest.approx(FIRST_S)
