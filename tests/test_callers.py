"""Tests of the HTTP interface for callers, over a real daemon and stand-ins."""

import http.client
import json
import socket

import openai
import pytest

from standins.engine import build_token
from tests.deployments import (
    LIBRARY_KEY,
    SHOP_KEY,
    Deployment,
    complete,
    start_deployment,
)
from tests.fleet import Fleet, send_http, wait_until

SETTINGS = {
    "http": {"threads": 24, "body_limit_bytes": 20_000, "idle_timeout_s": 2},
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        start_deployment(fleet, Deployment(settings=SETTINGS))
        yield fleet


@pytest.fixture(scope="module")
def address(fleet):
    return fleet.addresses["host-0"]


@pytest.fixture(scope="module")
def client(address):
    return openai.OpenAI(
        api_key=SHOP_KEY, base_url=f"http://{address}/v1", max_retries=0
    )


def build_expected_text(model, prompt, count):
    return "".join(build_token(model, prompt, i) for i in range(count))


def test_openai_completion(client):
    answer = client.completions.create(model="adapter-0", prompt="p", max_tokens=4)
    assert answer.choices[0].text == build_expected_text("adapter-0@1", "p", 4)
    assert answer.model == "adapter-0@1"
    assert answer.usage.completion_tokens == 4


def test_openai_completion_stream(client):
    chunks = list(
        client.completions.create(
            model="adapter-1@1", prompt="p", max_tokens=6, stream=True
        )
    )
    text = "".join(chunk.choices[0].text for chunk in chunks)
    assert text == build_expected_text("adapter-1@1", "p", 6)
    assert chunks[-1].choices[0].finish_reason == "length"


@pytest.mark.parametrize("stream", [False, True], ids=["single", "stream"])
def test_openai_chat(client, stream):
    answer = client.chat.completions.create(
        model="adapter-2",
        messages=[{"role": "user", "content": "hello"}],
        max_tokens=3,
        stream=stream,
    )
    if stream:
        text = "".join(c.choices[0].delta.content or "" for c in answer)
    else:
        text = answer.choices[0].message.content
    assert text == build_expected_text("adapter-2@1", "hello", 3)


def test_openai_models_are_limited_to_the_organisation(client):
    names = {model.id for model in client.models.list()}
    assert names == {f"adapter-{i}" for i in range(6)}


def test_openai_error_has_code_and_hint(client):
    with pytest.raises(openai.PermissionDeniedError) as caught:
        client.completions.create(model="library-only", prompt="p")
    assert caught.value.body["code"] == "not-allowed"
    assert caught.value.body["execution"] == "not-run"
    assert caught.value.body["hint"]


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"", {}, 400, "bad-request"),
        (b"{", {}, 400, "bad-request"),
        (b"[]", {}, 400, "bad-request"),
        (b"[" * 5000, {}, 400, "bad-request"),
        (b"\xff\xfe", {}, 400, "bad-request"),
        (b'{"prompt": "p"}', {}, 400, "bad-request"),
        (b'{"model": "adapter-0"}', {}, 400, "bad-request"),
        (
            b'{"model": "adapter-0", "prompt": "p", "max_tokens": -1}',
            {},
            400,
            "bad-request",
        ),
        (
            b'{"model": "adapter-0", "prompt": "p", "max_tokens": 999999999}',
            {},
            400,
            "bad-request",
        ),
        (b'{"model": "adapter-0", "prompt": "p", "n": 2}', {}, 400, "bad-request"),
        (b'{"model": "none", "prompt": "p"}', {}, 404, "unknown-model"),
        (b'{"model": "adapter-0", "prompt": "p"}', {"X-Deadline-Ms": "0"}, 400, None),
        (b'{"model": "adapter-0", "prompt": "p"}', {"X-Deadline-Ms": "x"}, 400, None),
        (b'{"model": "adapter-0", "prompt": "p"}', {"X-Priority": "now"}, 400, None),
        (
            b'{"model": "adapter-0", "prompt": "p"}',
            {"Authorization": "Bearer nobody"},
            401,
            "unknown-key",
        ),
        (
            b'{"model": "adapter-0", "prompt": "p"}',
            {"Authorization": "Basic xyz"},
            400,
            "bad-request",
        ),
        (
            b'{"model": "adapter-0", "prompt": "p"}',
            {"Authorization": ""},
            401,
            "unknown-key",
        ),
        (
            b'{"model": "adapter-0", "prompt": "p"}',
            {"Authorization": f"Bearer {LIBRARY_KEY}"},
            403,
            "not-allowed",
        ),
    ],
)
def test_completion_refused(address, body, headers, status, code):
    request_headers = {"Authorization": f"Bearer {SHOP_KEY}", **headers}
    result = send_raw(address, "/v1/completions", body, request_headers)
    assert result[0] == status
    error = json.loads(result[1])["error"]
    assert error["code"] == code or code is None
    assert error["execution"] == "not-run"


def send_raw(address, path, body, headers):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, data


def test_oversized_body_is_refused(address):
    status, _ = send_raw(address, "/v1/completions", b"x" * 30_000, {})
    assert status == 413


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/stock/1", SHOP_KEY, 200),
        ("/stock/1", "", 401),
        ("/open/1", "", 200),
        ("/open/1", "nobody", 401),
        ("/library/1", SHOP_KEY, 403),
        ("/library/1", LIBRARY_KEY, 200),
        ("/nowhere", SHOP_KEY, 404),
    ],
)
def test_plain_route(address, path, key, status):
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    assert send_http(address, "GET", path, headers=headers).status == status


def test_slow_requests_occupy_no_worker(address):
    host, _, port = address.rpartition(":")
    sockets = []
    for _ in range(40):
        sock = socket.create_connection((host, int(port)))
        sock.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
        sockets.append(sock)
    assert complete(address).status == 200
    for sock in sockets:
        sock.close()


def test_truncated_request_is_discarded(fleet, address):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
    status = send_http(address, "GET", "/status").json
    assert status["running_requests"] == 0


def test_disconnected_caller_cancels_at_the_engine(fleet, address):
    body = json.dumps(
        {"model": "adapter-3", "prompt": "long", "max_tokens": 4000, "stream": True}
    ).encode()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {SHOP_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        assert b"200" in sock.recv(200)

    def is_idle():
        return all(
            send_http(fleet.addresses[name], "GET", "/load").json["running"] == 0
            for name in ("engine-0", "engine-1")
        )

    wait_until(is_idle, what="the engines to be idle")
    wait_until(
        lambda: send_http(address, "GET", "/status").json["running_requests"] == 0,
        timeout_s=5,
        what="the request to end",
    )


def test_no_key_reaches_a_target(fleet, address):
    assert complete(address).status == 200
    headers = {"Authorization": f"Bearer {SHOP_KEY}"}
    body = {"n": 1}
    assert send_http(address, "POST", "/stock/1", body, headers=headers).status == 200
    for name in ("engine-0", "engine-1", "till-0"):
        recorded = send_http(fleet.addresses[name], "GET", "/recorded").body
        assert recorded
        assert SHOP_KEY.encode() not in recorded
        assert LIBRARY_KEY.encode() not in recorded
        assert b"HTTP_AUTHORIZATION" not in recorded


def test_no_key_is_logged(fleet, address):
    assert complete(address).status == 200
    for path in fleet.list_event_files():
        text = path.read_text()
        assert SHOP_KEY not in text
        assert LIBRARY_KEY not in text
