import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.daemon._calls import parse_caller, parse_completion
from thornlatch.daemon._settings import HttpSettings
from thornlatch.exceptions import ErrorKind, RequestRefused

SETTINGS = HttpSettings()


@pytest.mark.parametrize(
    ("headers", "priority", "deadline_s"),
    [
        ({}, "interactive", SETTINGS.default_deadline_s),
        ({"HTTP_X_PRIORITY": "batch"}, "batch", SETTINGS.batch_deadline_s),
        ({"HTTP_X_DEADLINE_MS": "1500"}, "interactive", 1.5),
    ],
    ids=["default", "batch", "deadline"],
)
def test_parse_caller_headers(headers, priority, deadline_s):
    caller = parse_caller(headers, SETTINGS)
    assert (caller.priority, caller.deadline_s) == (priority, deadline_s)


@pytest.mark.parametrize(
    "headers",
    [
        {"HTTP_X_DEADLINE_MS": "-1"},
        {"HTTP_X_DEADLINE_MS": "\u0661"},
        {"HTTP_X_DEADLINE_MS": "99999999999"},
        {"HTTP_X_DEADLINE_MS": "00864000009"},
        {"HTTP_X_DEADLINE_MS": "9" * 5000},
        {"HTTP_AUTHORIZATION": "Basic x"},
        {"HTTP_AUTHORIZATION": "Bearer " + "k" * 300},
        {"HTTP_IDEMPOTENCY_KEY": "k" * 300},
    ],
)
def test_parse_caller_refused(headers):
    with pytest.raises(RequestRefused) as caught:
        parse_caller(headers, SETTINGS)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@given(st.binary(max_size=200), st.booleans())
def test_parse_completion_arbitrary_bytes(body, is_chat):
    with pytest.raises(RequestRefused):
        parse_completion(body, SETTINGS, is_chat=is_chat)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "prompt", "messages", "n", "max_tokens", "role"]),
            children,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(json_values, st.booleans())
def test_parse_completion_arbitrary_json(value, is_chat):
    body = json.dumps(value).encode()
    try:
        call = parse_completion(body, SETTINGS, is_chat=is_chat)
    except RequestRefused as error:
        assert error.kind is ErrorKind.BAD_REQUEST
    else:
        assert call.fields.model
        assert 1 <= call.fields.max_tokens <= SETTINGS.max_tokens
