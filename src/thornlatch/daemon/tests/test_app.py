import json

import pytest

from thornlatch.configuration import Adapter
from thornlatch.daemon._answers import HttpAnswer
from thornlatch.daemon._app import build_completion
from thornlatch.daemon._calls import parse_caller, parse_completion
from thornlatch.daemon._completions import CompletionRequest
from thornlatch.daemon._running import RunningRequest
from thornlatch.daemon._settings import HttpSettings
from thornlatch.targets import CompletionChunk

SETTINGS = HttpSettings()


def make_request(*, is_chat):
    prompt = {"messages": [{"role": "user", "content": "a"}]}
    fields = {"model": "a", **(prompt if is_chat else {"prompt": "a"})}
    return CompletionRequest(
        caller=parse_caller({}, SETTINGS),
        call=parse_completion(json.dumps(fields).encode(), SETTINGS, is_chat=is_chat),
        adapter=Adapter("a", "1", "p"),
        organisation="o",
        deadline=1.0,
        running=RunningRequest("r", ""),
        is_disconnected=lambda: False,
    )


def make_chunk(index, text, *, choices, is_finish=False):
    data = json.dumps({"model": "a@1", "choices": choices}).encode()
    return CompletionChunk(data, "a@1", index, is_finish, text)


def test_answer_names_the_reason_of_its_status():
    lines = []
    for status in (200, 503, 299):
        HttpAnswer(status, b"", ()).send(lambda line, headers: lines.append(line))
    assert lines == ["200 OK", "503 Service Unavailable", "299 Unknown"]


@pytest.mark.parametrize("is_chat", [False, True], ids=["text", "chat"])
def test_build_completion_event_without_choices(is_chat):
    last = [{"finish_reason": "length"}]
    chunks = [
        make_chunk(0, "one ", choices=[{}]),
        make_chunk(1, "two", choices=last, is_finish=True),
        make_chunk(None, "", choices=[]),
    ]
    answer = build_completion(make_request(is_chat=is_chat), chunks)
    [choice] = answer["choices"]
    text = choice["message"]["content"] if is_chat else choice["text"]
    assert (text, choice["finish_reason"]) == ("one two", "length")
    assert answer["usage"]["completion_tokens"] == 2
